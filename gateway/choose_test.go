package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/job"
)

// Guards against jobs queued in a full group while another one has free capacity, and against all VMs choosing one
// group.
func TestChoose(t *testing.T) {
	is := is.New(t)
	full := candidateGroup{group: "a#0", zone: "a", expectedWait: 80 * time.Millisecond, spareMilliCores: -1}
	free := candidateGroup{group: "a#1", zone: "a", spareMilliCores: 100_000}
	freer := candidateGroup{group: "a#2", zone: "a", spareMilliCores: 300_000}
	remote := candidateGroup{group: "b#0", zone: "b", spareMilliCores: 500_000}
	is.Equal(chooseGroup([]candidateGroup{full, free}, "a", 0.5), "a#1")
	is.Equal(chooseGroup([]candidateGroup{free, remote}, "a", 0.99), "a#1") // the own zone is preferred
	is.Equal(chooseGroup([]candidateGroup{full, remote}, "a", 0.5), "b#0")  // another zone if the job starts sooner there
	counts := map[string]int{}
	for i := range 100 {
		counts[chooseGroup([]candidateGroup{free, freer}, "a", float64(i)/100)]++
	}
	is.True(counts["a#1"] >= 24 && counts["a#1"] <= 26) // a quarter, its part of the free capacity
	is.Equal(counts["a#1"]+counts["a#2"], 100)
}

// Guards against too many copies when a configuration changes: every VM requested one from each other VM at every
// heartbeat, which saturated the links and delayed the heartbeats (kuusepuu-blanks-grown trouble-1).
func TestCopyRequestsAreRateLimited(t *testing.T) {
	is := is.New(t)
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}})
	now := time.Now()
	asked := 0
	for beat := range 40 { // 6 s of heartbeats of 20 VMs with a newer configuration
		for range 20 {
			if g.shouldRequestCopy(7, now.Add(time.Duration(beat)*150*time.Millisecond)) {
				asked++
			}
		}
	}
	is.True(asked >= 4)                    // the configuration must be active within 2 s
	is.True(asked <= 9)                    // one in 0.7 s
	is.True(!g.shouldRequestCopy(0, now))  // nothing newer
	g.behindSince, g.newestConfig = now, 7 // just reported: the store may still deliver it
	is.True(!g.shouldRequestCopy(7, now.Add(100*time.Millisecond)))
}

// Guards against routing a request by a shorter prefix or by another host's route.
func TestFindRoute(t *testing.T) {
	is := is.New(t)
	c := Configuration{Routes: []Route{
		{Host: "h.example", Prefix: "/a/", Policy: job.Policy{Route: "short"}},
		{Host: "h.example", Prefix: "/a/b/", Policy: job.Policy{Route: "long"}},
		{Host: "other.example", Prefix: "/a/b/c/", Policy: job.Policy{Route: "other"}},
	}}
	r, found := c.FindRoute("H.example", "/a/b/c/0")
	is.True(found)
	is.Equal(r.Policy.Route, "long")
	_, found = c.FindRoute("h.example", "/b/")
	is.True(!found)
}
