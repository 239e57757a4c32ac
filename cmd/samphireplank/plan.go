package main

import (
	"context"
	"fmt"
	"io"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/publication"
	"samphireplank.example/samphireplank/store"
)

const planHelp = "Checks object files and shows how they differ from the set that was published last. " +
	"Pass the generation it prints to publish --base, so that the publication is refused if somebody else comes first."

type planCommand struct {
	platformOptions
	Files objectFiles `positional-args:"yes"`
}

// planResult is what a publication would change.
type planResult struct {
	Base        *publication.Record     `json:"base"` // the last publication, null when there is none
	Digest      contract.Digest         `json:"digest"`
	Differences []contract.ObjectChange `json:"differences"`
}

// Run prints the differences.
func (c *planCommand) Run(ctx context.Context, e *environment) error {
	set, err := c.Files.read()
	if err != nil {
		return err
	}
	client, err := c.connect(e)
	if err != nil {
		return err
	}
	head, published, err := readPublished(ctx, client)
	if err != nil {
		return err
	}
	r := planResult{Digest: set.Digest(), Differences: contract.ObjectChanges(published, set)}
	if head.Generation > 0 {
		r.Base = &head.Record
	}
	return e.print(r, func(w io.Writer) { printPlan(w, r) })
}

// readPublished returns the head and its set; both are empty before the first publication.
func readPublished(ctx context.Context, kv store.Store) (publication.Head, *contract.Set, error) {
	head, _, err := publication.ReadHead(ctx, kv)
	if err != nil || head.Generation == 0 {
		return head, &contract.Set{}, err
	}
	set, err := publication.Fetch(ctx, kv, nil, head.Record)
	return head, set, err
}

func printPlan(w io.Writer, r planResult) {
	if r.Base == nil {
		fmt.Fprintln(w, "Nothing was published yet.")
	} else {
		fmt.Fprintln(w, "Compared with", recordText(*r.Base))
	}
	signs := map[contract.Action]string{contract.Added: "+", contract.Changed: "~", contract.Removed: "-"}
	counts := map[contract.Action]int{}
	for _, d := range r.Differences {
		counts[d.Action]++
		fmt.Fprintf(w, "%s %s %s\n", signs[d.Action], d.Object, d.Name)
		for _, f := range d.Fields {
			printField(w, d.Action, f)
		}
	}
	fmt.Fprintf(w, "%d added, %d changed, %d removed\n", counts[contract.Added], counts[contract.Changed], counts[contract.Removed])
	if r.Base != nil && len(r.Differences) > 0 {
		fmt.Fprintf(w, "To publish exactly this: samphireplank publish --base %d …\n", r.Base.Generation)
	}
}

func printField(w io.Writer, action contract.Action, f contract.FieldChange) {
	if f.Field == "name" {
		return // the line of the object says it
	}
	if action == contract.Added {
		fmt.Fprintf(w, "    %s: %s\n", f.Field, f.To)
		return
	}
	fmt.Fprintf(w, "    %s: %s -> %s\n", f.Field, orNone(f.From), orNone(f.To))
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
