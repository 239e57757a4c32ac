package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// outcome is the result of a case: an empty text if the rule held.
type outcome string

// exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]struct {
	size clusterConfig
	run  func(c *cluster, trouble bool) (outcome, error)
}{
	"lasting":     {clusterConfig{Zones: 3, VMs: 2, Executors: 8, Attempts: 3}, lastingTask},
	"zone":        {clusterConfig{Zones: 3, VMs: 2, Executors: 8, Attempts: 3}, lostZone},
	"waiting":     {clusterConfig{Zones: 2, VMs: 2, Executors: 8, Attempts: 3}, waitingCount},
	"series":      {clusterConfig{Zones: 2, VMs: 2, Executors: 4, Attempts: 3, StatusS: 20}, failedOccurrence},
	"many":        {clusterConfig{Zones: 2, VMs: 2, Executors: 4, Attempts: 3}, manyJobs},
	"occurrences": {clusterConfig{Zones: 3, VMs: 2, Executors: 4, Attempts: 3}, repeatedOccurrence},
	"cancelled":   {clusterConfig{Zones: 3, VMs: 2, Executors: 8, Attempts: 3}, cancelledOccurrence},
	"label":       {clusterConfig{Zones: 4, VMs: 2, Executors: 6, Attempts: 3}, labelElsewhere},
	"gang":        {clusterConfig{Zones: 3, VMs: 2, Executors: 8, Attempts: 3}, wideGang},
	"random":      {clusterConfig{Zones: 2, VMs: 2, Executors: 4, Attempts: 3}, randomFaults},
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	program := flag.String("program", "target/samphireplank", "program of the deploy file")
	logs := flag.String("logs", "", "directory for the logs of the VMs")
	flag.Parse()
	os.Exit(runCase(*name, *path, *program, *logs))
}

func runCase(name, path, program, logs string) int {
	chosen, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	size := chosen.size
	size.Program, size.Logs = program, logs
	c, err := startCluster(rec, size)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.note("case %s, trouble %t", name, trouble)
	result, err := outcome(""), c.ready(20*time.Second)
	if err == nil {
		result, err = chosen.run(c, trouble)
	}
	if err == nil && result == "" {
		c.w.mu.Lock()
		if len(c.w.faults) > 0 {
			result = outcome(c.w.faults[0])
		}
		c.w.mu.Unlock()
	}
	rec.note("result: %q, %v", result, err)
	if closing := c.close(); closing != nil {
		fmt.Fprintln(os.Stderr, "end of the processes:", closing)
	}
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		return exitNotRun
	case result != "":
		fmt.Println("broken:", result)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
