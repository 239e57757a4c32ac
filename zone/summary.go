package zone

import (
	"cmp"
	"slices"
	"time"

	"samphireplank.example/samphireplank/store"
)

// ServiceLoad summarizes the load of a service in a zone as one of the zone's entry VMs sees it.
type ServiceLoad struct {
	Zone    string
	VM      string // entry VM that sent the summary and accepts forwarded jobs
	Service string
	Slots   int
	Idle    int
	Queued  int
}

// Limits of forwarding and of the exchange of summaries.
const (
	minBackoff         = 100 * time.Millisecond // after the first refusal by a zone
	maxBackoff         = 5 * time.Second
	unreachableTimeout = 10 * time.Second // an entry VM that didn't answer is skipped for this long
	loadPeersPerZone   = 2                // entry VMs of each other zone to exchange summaries with
)

// summary is a received ServiceLoad; Idle is reduced by the tasks that were forwarded since.
type summary struct {
	ServiceLoad
	received time.Time
}

// backoff suspends forwarding to a zone that refused a job.
type backoff struct {
	zone  string
	delay time.Duration
	until time.Time
}

func compareSummary(a, b ServiceLoad) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.VM, b.VM))
}

// UpdateLoad stores the summary of another zone and drops outdated summaries.
func (t *Membership) UpdateLoad(now time.Time, s ServiceLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Zone == t.config.Zone {
		return
	}
	t.summaries = slices.DeleteFunc(t.summaries, func(old summary) bool { return !t.isFresh(now, old) })
	at, found := slices.BinarySearchFunc(t.summaries, s, func(a summary, b ServiceLoad) int { return compareSummary(a.ServiceLoad, b) })
	if !found {
		t.summaries = slices.Insert(t.summaries, at, summary{})
	}
	t.summaries[at] = summary{ServiceLoad: s, received: now}
}

func (t *Membership) isFresh(now time.Time, s summary) bool {
	return now.Sub(s.received) < t.config.LoadTTL
}

// ReserveRemote returns an entry VM of the other zone with the most idle slots, if it has enough of them to start all
// tasks of the job at once; only summaries younger than LoadTTL (2 s) count. It subtracts the tasks from the zone's
// idle slots until the next summary.
func (t *Membership) ReserveRemote(now time.Time, service string, tasks int) (vm store.VM, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := -1
	for i, s := range t.summaries {
		if s.Service != service || s.Idle < max(1, tasks) || !t.isFresh(now, s) || !t.mayForward(now, s) {
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
		// The summaries of all entry VMs of a zone cover the same slots.
		if s := &t.summaries[i]; s.Service == service && s.Zone == chosen.Zone {
			s.Idle -= tasks
		}
	}
	return t.byID[chosen.VM].vm, true
}

// mayForward reports whether the sender of a summary is live and reachable and its zone isn't in backoff.
func (t *Membership) mayForward(now time.Time, s summary) bool {
	r := t.byID[s.VM]
	if r == nil || r.vm.State != store.StateLive || now.Before(r.unreachableUntil) {
		return false
	}
	i, found := t.findBackoff(s.Zone)
	return !found || !now.Before(t.backoffs[i].until)
}

func (t *Membership) findBackoff(zone string) (int, bool) {
	return slices.BinarySearchFunc(t.backoffs, zone, func(b backoff, zone string) int { return cmp.Compare(b.zone, zone) })
}

// ForwardRefused records that a zone refused a forwarded job and starts a backoff of 100 ms, which doubles with each
// further refusal up to 5 s.
func (t *Membership) ForwardRefused(now time.Time, zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, found := t.findBackoff(zone)
	if !found {
		t.backoffs = slices.Insert(t.backoffs, i, backoff{zone: zone})
	}
	b := &t.backoffs[i]
	if now.Before(b.until) {
		return // the job was forwarded before the last refusal
	}
	b.delay = min(max(minBackoff, 2*b.delay), maxBackoff)
	b.until = now.Add(b.delay)
}

// ForwardAccepted records that a zone accepted a forwarded job and ends its backoff.
func (t *Membership) ForwardAccepted(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i, found := t.findBackoff(zone); found {
		t.backoffs = slices.Delete(t.backoffs, i, i+1)
	}
}

// MarkUnreachable records that an entry VM of another zone didn't answer, which excludes it from forwards and exchanges
// of summaries for 10 s.
func (t *Membership) MarkUnreachable(now time.Time, vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byID[vm]; r != nil {
		r.unreachableUntil = now.Add(unreachableTimeout)
	}
}

// LoadExchangePeers returns up to two entry VMs of each other zone to exchange summaries with, sorted by zone. Each
// entry VM of the own zone chooses by its position in the sorted list, so that the exchanges are spread evenly over the
// other zone.
func (t *Membership) LoadExchangePeers(now time.Time) []store.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	position := max(0, slices.IndexFunc(t.liveEntryVMs, func(vm store.VM) bool { return vm.ID == t.config.VM }))
	var chosen []store.VM
	for _, candidates := range t.otherZones(now) {
		for i := range min(loadPeersPerZone, len(candidates)) {
			chosen = append(chosen, candidates[(loadPeersPerZone*position+i)%len(candidates)])
		}
	}
	return chosen
}

// otherZones returns the reachable live entry VMs of the other zones, grouped by zone and sorted by zone and id.
func (t *Membership) otherZones(now time.Time) [][]store.VM {
	var vms []store.VM
	for _, r := range t.members {
		other := r.vm.Role == store.RoleEntry && r.vm.Zone != t.config.Zone
		if other && r.vm.State == store.StateLive && !now.Before(r.unreachableUntil) {
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
