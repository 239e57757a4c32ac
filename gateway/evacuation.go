package gateway

import (
	"maps"
	"slices"
	"time"

	"samphireplank.example/samphireplank/evacuation"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/worker"
)

// operatorPrefixIndex is the index of the operators' keys in storeCache.prefixes.
const operatorPrefixIndex = 1

// evacuationState returns the newest known state of the evacuations.
func (sc *storeCache) evacuationState() evacuation.State {
	if state := sc.evacuations.Load(); state != nil {
		return *state
	}
	return evacuation.State{}
}

// updateEvacuations derives the evacuations from the operators' keys after a response of the store; the caller holds the lock.
func (sc *storeCache) updateEvacuations(part *watchedPrefix) {
	if part != sc.prefixes[operatorPrefixIndex] {
		return
	}
	sc.mergeEvacuations(evacuation.NewState(slices.Collect(maps.Keys(sc.evacuatedZones)), part.revision))
}

// learnEvacuations takes over what another VM knows of the evacuations if it is newer.
func (sc *storeCache) learnEvacuations(state evacuation.State) {
	if state.Revision <= sc.evacuationState().Revision {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.mergeEvacuations(state) {
		sc.notifyLocked()
	}
}

// mergeEvacuations takes over a state if it is newer than the known one, and returns true if the zones have changed or become known.
// The caller holds the lock.
func (sc *storeCache) mergeEvacuations(state evacuation.State) bool {
	before := sc.evacuationState()
	merged := before.Merge(state)
	if merged.Revision == before.Revision {
		return false
	}
	sc.evacuations.Store(&merged)
	if merged.SameZones(before) {
		return false
	}
	sc.log.Info().Str("event", "evacuations").Strs("zones", merged.Zones).Int64("revision", merged.Revision).Bool("known-before", before.Known()).Msg("evacuated zones have changed or become known")
	return true
}

// evacuatedMemory is how long a request does not ask a group again whose holder has said that its zone is evacuated. This VM learns of
// the evacuation, or the holder of its end, within a heartbeat or two.
const evacuatedMemory = 500 * time.Millisecond

// mayAsk reports whether the zone of a group is not known to be evacuated.
func (g *Gateway) mayAsk(r *request, group string) bool {
	if at, told := r.evacuatedAt[group]; told && time.Since(at) < evacuatedMemory {
		return false
	}
	return !g.cache.evacuationState().Evacuated(zoneOf(group))
}

// continueElsewhere records that a holder has returned a job of which no run can be alive, because the zone of its group is evacuated.
func (r *request) continueElsewhere(group string, progress placement.Progress) {
	r.progress, r.resumed, r.mayHaveStarted, r.idle = progress, true, true, true
	r.evacuatedAt[group] = time.Now()
}

// allEvacuatedRetryAfter is the time after which a caller may retry while all zones are evacuated.
const allEvacuatedRetryAfter = time.Second

// refuseAllEvacuated returns a refusal if the job has not started anywhere and all zones are evacuated.
func (g *Gateway) refuseAllEvacuated(r *request) (Refused, bool) {
	if r.mayHaveStarted || !g.cache.evacuationState().AllEvacuated(g.zones()) {
		return Refused{}, false
	}
	return Refused{Reason: "all zones are evacuated", RetryAfter: allEvacuatedRetryAfter}, true
}

// zones returns the zones that have groups.
func (g *Gateway) zones() []string {
	g.cache.mu.Lock()
	defer g.cache.mu.Unlock()
	zones := make([]string, 0, len(g.cache.partitions))
	for zone := range g.cache.partitions {
		zones = append(zones, zone)
	}
	return zones
}

// refusedStarts returns the responses to start orders that this VM must not send, since the zone of the group is evacuated as far as it
// knows. With the spec the holder can go on by itself if it knows better.
func (g *Gateway) refusedStarts(m peer.Orders, spec string) []peer.Ordered {
	if g.cache.evacuationState().MayStart(zoneOf(m.Group)) {
		return nil
	}
	refused := make([]peer.Ordered, 0, len(m.Starts))
	for _, o := range m.Starts {
		refused = append(refused, peer.Ordered{Group: m.Group, Run: o.Run, Lease: o.Lease, Reason: worker.ReasonNotSent, Spec: spec, SpecKnown: true})
	}
	return refused
}

// recordCold records the end of a worker's cold time as its entry reports it; the caller holds the lock.
func (sc *storeCache) recordCold(key string, remaining time.Duration) {
	if remaining <= 0 {
		delete(sc.coldUntil, key)
		return
	}
	sc.coldUntil[key] = time.Now().Add(remaining)
}

// addCold adds the remaining cold time of a worker to the list of a group; the caller holds the lock.
func (sc *storeCache) addCold(list *placement.WorkerList, key, id string, now time.Time) {
	until, ok := sc.coldUntil[key]
	if !ok || !now.Before(until) {
		return
	}
	if list.Cold == nil {
		list.Cold = map[string]time.Duration{}
	}
	list.Cold[id] = until.Sub(now)
}
