package chaos

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/load"
)

// Guards against a verdict that excuses a broken call by a fault of another entry VM, another time or another kind.
func TestJudgeBreak(t *testing.T) {
	c := &cluster{cfg: Config{BasePort: 17000}}
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	second := func(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }
	spans := []span{
		{event: FaultEvent{Number: 1, Kind: Kill, Entry: 1}, from: second(10), to: second(12)},
		{event: FaultEvent{Number: 2, Kind: Stop, Entry: 2}, from: second(10), to: second(15)},
		{event: FaultEvent{Number: 3, Kind: Pause, Entry: 3}, from: second(10), to: second(13)},
	}
	cases := map[string]struct {
		call load.FailedCall
		want string // part of the violated check, nothing for an excused call
	}{
		"killed":               {load.FailedCall{Entry: c.entryAddress(1), Sent: second(9), At: second(10.1)}, ""},
		"stale after restart":  {load.FailedCall{Entry: c.entryAddress(1), Sent: second(12.2), At: second(12.3)}, ""},
		"before the kill":      {load.FailedCall{Entry: c.entryAddress(1), Sent: second(8), At: second(9)}, "live entry VM"},
		"other VM":             {load.FailedCall{Entry: c.entryAddress(4), Sent: second(9), At: second(10.1)}, "live entry VM"},
		"stopped":              {load.FailedCall{Entry: c.entryAddress(2), Sent: second(9), At: second(14)}, "planned stop"},
		"frozen and broken":    {load.FailedCall{Entry: c.entryAddress(3), Sent: second(9), At: second(11)}, "live entry VM"},
		"frozen and no answer": {load.FailedCall{Entry: c.entryAddress(3), Sent: second(9), At: second(16), Timeout: true}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRecord()
			r.spans = spans
			judgeBreak(test.call, r, c)
			if test.want == "" {
				is.Equal(len(r.violations), 0)
				return
			}
			is.Equal(len(r.violations), 1)
			is.True(strings.Contains(r.violations[0].Check, test.want))
		})
	}
}

// Guards against a verdict that overlooks a violation that the load tool has counted.
func TestJudgeLoad(t *testing.T) {
	is := is.New(t)
	r := newRecord()
	wrong := load.PriorityReport{Outcomes: map[string]int{"invalid": 1, "malformed": 1, "unreachable": 1, "complete": 1}}
	judgeLoad(&load.Report{
		Checks:  load.Checks{StartsExtra: 1, Partial: 1, Crossed: 1, Contradictory: 1, NotRunStarted: 1, CompleteUnstarted: 1},
		Classes: []load.PriorityReport{wrong}, FailedCallCount: 1,
	}, r, &cluster{})
	is.Equal(len(r.violations), 10)
	r = newRecord()
	right := load.PriorityReport{Outcomes: map[string]int{"complete": 9, "unknown": 1, "not-run": 1, "failed": 1, "broken": 1}}
	judgeLoad(&load.Report{Classes: []load.PriorityReport{right}}, r, &cluster{})
	is.Equal(len(r.violations), 0)
}

// Guards against a verdict that takes a reverted configuration for a restart, or a restart for a reverted configuration.
func TestGenerationCheck(t *testing.T) {
	is := is.New(t)
	var g generationCheck
	is.Equal(g.see(status{Incarnation: 1, Generation: 3}), "")
	is.Equal(g.see(status{Incarnation: 1, Generation: 4}), "")
	is.True(g.see(status{Incarnation: 1, Generation: 3}) != "")
	is.True(g.see(status{Incarnation: 1, Generation: 0}) != "")
	g = generationCheck{last: status{Incarnation: 1, Generation: 4}}
	is.Equal(g.see(status{Incarnation: 2, Generation: 0}), "") // nothing is in force yet
	is.True(g.see(status{Incarnation: 2, Generation: 3}) != "")
	is.Equal(g.see(status{Incarnation: 2, Generation: 4}), "")
}

// Guards against a verdict that excuses a failed publication without a fault of the platform.
func TestJudgePublications(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	during := publication{code: exitFailed, from: now, to: now.Add(time.Second)}
	later := publication{code: exitFailed, from: now.Add(time.Minute), to: now.Add(time.Minute)}
	r := newRecord()
	r.spans = []span{{event: FaultEvent{Kind: PlatformDown}, from: now, to: now.Add(2 * time.Second)}}
	judgePublications([]publication{during, {code: exitLostRace}, {code: exitNotInForce}, {code: exitDone}}, r)
	is.Equal(len(r.violations), 0)
	judgePublications([]publication{later, {code: 3}}, r)
	is.Equal(len(r.violations), 2)
}
