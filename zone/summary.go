package zone

import (
	"cmp"
	"slices"
	"time"

	"samphireplank.example/samphireplank/store"
)

// ServiceLoad is the state of a service in a zone as one of the zone's entry VMs sees it.
type ServiceLoad struct {
	Zone    string
	VM      string // entry VM that sent it and takes forwarded jobs
	Service string
	Slots   int
	Idle    int
	Queued  int
}

// The intervals of forwards and summaries.
const (
	firstBackoff      = 100 * time.Millisecond // after a zone's first refusal
	longestBackoff    = 5 * time.Second
	unreachableFor    = 10 * time.Second // an entry VM that doesn't answer isn't asked for summaries for this long
	summaryPeersCount = 2                // entry VMs of each other zone to exchange summaries with
)

// summary is a received summary; Idle shrinks by the tasks forwarded since.
type summary struct {
	ServiceLoad
	received time.Time
}

// backoff holds back forwards to a zone that refused one.
type backoff struct {
	zone  string
	delay time.Duration
	until time.Time
}

func compareSummary(a, b ServiceLoad) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.VM, b.VM))
}

// UpdateLoad takes over the summary of another zone.
func (t *Membership) UpdateLoad(now time.Time, s ServiceLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Zone == t.config.Zone {
		return
	}
	t.summaries = slices.DeleteFunc(t.summaries, func(old summary) bool { return !t.fresh(now, old) })
	at, found := slices.BinarySearchFunc(t.summaries, s, func(a summary, b ServiceLoad) int { return compareSummary(a.ServiceLoad, b) })
	if !found {
		t.summaries = slices.Insert(t.summaries, at, summary{})
	}
	t.summaries[at] = summary{ServiceLoad: s, received: now}
}

func (t *Membership) fresh(now time.Time, s summary) bool {
	return now.Sub(s.received) < t.config.LoadTTL
}

// ReserveRemote returns an entry VM of the zone with the most idle slots that can take a job of so many tasks at once, by a
// summary less than 2 s old; the tasks count as forwarded there until the next summary.
func (t *Membership) ReserveRemote(now time.Time, service string, tasks int) (vm store.VM, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := -1
	for i, s := range t.summaries {
		if s.Service != service || s.Idle < max(1, tasks) || !t.fresh(now, s) || !t.mayForward(now, s) {
			continue
		}
		if best < 0 || s.Idle > t.summaries[best].Idle {
			best = i
		}
	}
	if best < 0 {
		return store.VM{}, false
	}
	chosen := t.summaries[best]
	for i := range t.summaries {
		// All entry VMs of a zone describe the same slots.
		if s := &t.summaries[i]; s.Service == service && s.Zone == chosen.Zone {
			s.Idle -= tasks
		}
	}
	return t.byID[chosen.VM].vm, true
}

// mayForward reports whether the sender of a summary is live and its zone hasn't refused a job recently.
func (t *Membership) mayForward(now time.Time, s summary) bool {
	r := t.byID[s.VM]
	if r == nil || r.vm.State != store.StateLive || now.Before(r.unreachable) {
		return false
	}
	i, found := t.findBackoff(s.Zone)
	return !found || !now.Before(t.backoffs[i].until)
}

func (t *Membership) findBackoff(zone string) (int, bool) {
	return slices.BinarySearchFunc(t.backoffs, zone, func(b backoff, zone string) int { return cmp.Compare(b.zone, zone) })
}

// ForwardRefused records that a zone refused a forwarded job; it gets none for 100 ms, doubling up to 5 s.
func (t *Membership) ForwardRefused(now time.Time, zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, found := t.findBackoff(zone)
	if !found {
		t.backoffs = slices.Insert(t.backoffs, i, backoff{zone: zone})
	}
	b := &t.backoffs[i]
	if now.Before(b.until) {
		return // a job forwarded before the last refusal
	}
	b.delay = min(max(firstBackoff, 2*b.delay), longestBackoff)
	b.until = now.Add(b.delay)
}

// ForwardAccepted records that a zone took a forwarded job and ends its backoff.
func (t *Membership) ForwardAccepted(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i, found := t.findBackoff(zone); found {
		t.backoffs = slices.Delete(t.backoffs, i, i+1)
	}
}

// MarkUnreachable records that an entry VM of another zone didn't answer; another one is asked for 10 s.
func (t *Membership) MarkUnreachable(now time.Time, vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byID[vm]; r != nil {
		r.unreachable = now.Add(unreachableFor)
	}
}

// LoadExchangePeers returns two entry VMs of each other zone to exchange summaries with, sorted by zone; the entry VMs of the
// own zone choose different ones by their position, so that each VM of the other zone serves equally many.
func (t *Membership) LoadExchangePeers(now time.Time) []store.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	position := max(0, slices.IndexFunc(t.entries, func(vm store.VM) bool { return vm.ID == t.config.VM }))
	var chosen []store.VM
	for _, candidates := range t.otherZones(now) {
		for i := range min(summaryPeersCount, len(candidates)) {
			chosen = append(chosen, candidates[(summaryPeersCount*position+i)%len(candidates)])
		}
	}
	return chosen
}

// otherZones returns the reachable live entry VMs of each other zone, sorted by zone and id.
func (t *Membership) otherZones(now time.Time) [][]store.VM {
	var vms []store.VM
	for _, r := range t.records {
		other := r.vm.Role == store.RoleEntry && r.vm.Zone != t.config.Zone
		if other && r.vm.State == store.StateLive && !now.Before(r.unreachable) {
			vms = append(vms, r.vm)
		}
	}
	slices.SortStableFunc(vms, func(a, b store.VM) int { return cmp.Compare(a.Zone, b.Zone) })
	var zones [][]store.VM
	for len(vms) > 0 {
		end := slices.IndexFunc(vms, func(vm store.VM) bool { return vm.Zone != vms[0].Zone })
		if end < 0 {
			end = len(vms)
		}
		zones = append(zones, vms[:end])
		vms = vms[end:]
	}
	return zones
}
