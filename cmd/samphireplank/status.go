package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"samphireplank.example/samphireplank/publication"
)

const statusHelp = "Shows the last publication, and asks every live entry VM of the platform's list for its generation, its slots, the " +
	"endpoints that it limits and the demand by class."

type statusCommand struct {
	platformOptions
}

// statusResult is the last publication and what entry VMs say.
type statusResult struct {
	Record  *publication.Record `json:"record"` // null when nothing was published
	VMs     []vmStatus          `json:"vms"`
	Zones   []zoneStatus        `json:"zones"`
	Classes []classStatus       `json:"classes"`
}

// zoneStatus sums what the entry VMs of a zone say about a service.
type zoneStatus struct {
	Zone      string   `json:"zone"`
	Service   string   `json:"service"`
	Endpoints int      `json:"endpoints"`
	Slots     int      `json:"slots"`
	InUse     int      `json:"in-use"`
	Withheld  int      `json:"withheld"`
	Limited   []string `json:"limited"` // endpoints that are ejected or on trial on some entry VM
}

// classStatus is the demand of a priority over all entry VMs.
type classStatus struct {
	Priority string `json:"priority"`
	Queued   int    `json:"queued"`
	Running  int    `json:"running"`
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
	r.Zones = sumZones(r.VMs)
	r.Classes = sumClasses(r.VMs)
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
	fmt.Fprintln(table, "\nZONE\tSERVICE\tENDPOINTS\tSLOTS\tIN USE\tWITHHELD\tEJECTED OR ON TRIAL")
	for _, z := range r.Zones {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
			z.Zone, z.Service, z.Endpoints, z.Slots, z.InUse, z.Withheld, strings.Join(z.Limited, " "))
	}
	_ = table.Flush()
	fmt.Fprintln(table, "\nCLASS\tQUEUED\tRUNNING")
	for _, class := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\n", class.Priority, class.Queued, class.Running)
	}
	_ = table.Flush()
}

// sumZones returns the state of each service in each zone, sorted.
func sumZones(vms []vmStatus) []zoneStatus {
	sums := make(map[[2]string]*zoneStatus)
	for _, vm := range vms {
		for _, service := range vm.full.Services {
			key := [2]string{vm.Zone, service.Service}
			z, ok := sums[key]
			if !ok {
				z = &zoneStatus{Zone: vm.Zone, Service: service.Service, Limited: []string{}}
				sums[key] = z
			}
			z.Endpoints = max(z.Endpoints, service.Endpoints)
			z.Slots += service.Slots.Owned
			z.InUse += service.Slots.InUse
			z.Withheld += service.Slots.Withheld
			z.Limited = append(z.Limited, service.Limited...)
		}
	}
	zones := make([]zoneStatus, 0, len(sums))
	for _, z := range sums {
		slices.Sort(z.Limited)
		z.Limited = slices.Compact(z.Limited)
		zones = append(zones, *z)
	}
	slices.SortFunc(zones, func(a, b zoneStatus) int {
		return strings.Compare(a.Zone+" "+a.Service, b.Zone+" "+b.Service)
	})
	return zones
}

// sumClasses returns the demand of each priority, sorted.
func sumClasses(vms []vmStatus) []classStatus {
	sums := make(map[string]classStatus)
	for _, vm := range vms {
		for _, service := range vm.full.Services {
			for _, demand := range service.Demand {
				class := sums[demand.Priority]
				class.Priority = demand.Priority
				class.Queued += demand.Queued
				class.Running += demand.Running
				sums[demand.Priority] = class
			}
		}
	}
	classes := slices.Collect(maps.Values(sums))
	slices.SortFunc(classes, func(a, b classStatus) int { return strings.Compare(a.Priority, b.Priority) })
	return classes
}
