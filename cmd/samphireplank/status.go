package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"samphireplank.example/samphireplank/publication"
)

const statusHelp = "Shows the last publication and asks every live entry VM of the platform's list which generation it has in force."

type statusCommand struct {
	platformOptions
}

// statusResult is the last publication and what entry VMs say.
type statusResult struct {
	Record *publication.Record `json:"record"` // null when nothing was published
	VMs    []vmStatus          `json:"vms"`
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context, e *environment) error {
	client, err := c.connect(e)
	if err != nil {
		return err
	}
	head, _, err := publication.ReadHead(ctx, client)
	if err != nil {
		return err
	}
	vms, err := entryVMs(ctx, client)
	if err != nil {
		return err
	}
	r := statusResult{VMs: askAll(ctx, vms)}
	if head.Generation > 0 {
		r.Record = &head.Record
	}
	return e.print(r, func(w io.Writer) { printStatus(w, r) })
}

func printStatus(w io.Writer, r statusResult) {
	if r.Record == nil {
		fmt.Fprintln(w, "Nothing was published yet.")
	} else {
		fmt.Fprintln(w, "Published:", recordText(*r.Record))
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY VM\tZONE\tADDRESS\tGENERATION")
	for _, vm := range r.VMs {
		generation := fmt.Sprint(vm.Generation)
		if vm.Error != "" {
			generation = vm.Error
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", vm.ID, vm.Zone, vm.Address, generation)
	}
	_ = table.Flush()
}
