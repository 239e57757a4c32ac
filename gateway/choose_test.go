package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
)

// Guards against jobs that wait in a full group while another one has room, and against all VMs choosing the same group.
func TestChoose(t *testing.T) {
	is := is.New(t)
	full := option{group: "a#0", zone: "a", wait: 80 * time.Millisecond, spare: -1}
	free := option{group: "a#1", zone: "a", spare: 100_000}
	freer := option{group: "a#2", zone: "a", spare: 300_000}
	remote := option{group: "b#0", zone: "b", spare: 500_000}
	is.Equal(choose([]option{full, free}, "a", 0.5), "a#1")
	is.Equal(choose([]option{free, remote}, "a", 0.99), "a#1") // the own zone first
	is.Equal(choose([]option{full, remote}, "a", 0.5), "b#0")  // another zone where that is sooner
	counts := map[string]int{}
	for i := range 100 {
		counts[choose([]option{free, freer}, "a", float64(i)/100)]++
	}
	is.True(counts["a#1"] >= 24 && counts["a#1"] <= 26) // a quarter, as its share of the free room
	is.Equal(counts["a#1"]+counts["a#2"], 100)
}

// Guards against a request that a shorter prefix or another host takes.
func TestFindRoute(t *testing.T) {
	is := is.New(t)
	c := Configuration{Routes: []Route{
		{Host: "h.example", Prefix: "/a/", Policy: job.Policy{Route: "short"}},
		{Host: "h.example", Prefix: "/a/b/", Policy: job.Policy{Route: "long"}},
		{Host: "other.example", Prefix: "/a/b/c/", Policy: job.Policy{Route: "other"}},
	}}
	r, found := c.Find("H.example", "/a/b/c/0")
	is.True(found)
	is.Equal(r.Policy.Route, "long")
	_, found = c.Find("h.example", "/b/")
	is.True(!found)
}
