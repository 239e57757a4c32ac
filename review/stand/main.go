package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs a case. It returns what broke the rule, "" if it held.
type scenario func(rec *record, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"leaving":   leaving,
	"noon":      noon,
	"gang":      gang,
	"zone":      zone,
	"lateWrite": lateWrite,
	"elsewhere": elsewhere,
	"capacity":  capacity,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		names := make([]string, 0, len(scenarios))
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Println("usage: stand CASE RECORD; cases:", strings.Join(names, " "))
		return exitNotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", args[0], trouble)
	broken, err := scenarios[args[0]](rec, trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		code = exitNotRun
	case broken != "":
		rec.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		code = exitBroken
	default:
		rec.note("the rule held")
		fmt.Println("held")
	}
	if err := rec.close(); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	return code
}
