package gateway

import (
	"maps"
	"time"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
)

// permitDuration is how long a holder may act on the jobs of a VM after the VM has sent its last message. Together with
// placement.PermitLease it stays below the time after which clients send a job again.
const permitDuration = peer.ReadTimeout + reconnectGrace

// extendPermit extends the permit of an inbound connection by a message that has just arrived, and returns its end. The
// echo is the reading of this VM's clock that the message returns; the messages of earlier versions return none, and count
// from their arrival.
func (g *Gateway) extendPermit(connID uint64, echo time.Duration) time.Time {
	until := time.Now().Add(permitDuration)
	if echo != 0 {
		until = until.Add(-max(g.config.Clock()-echo, 0))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.permits[connID]) {
		g.permits[connID] = until
	}
	return until
}

// tick returns a Tick with what the VMs have reported.
func (g *Gateway) tick() placement.Tick {
	g.mu.Lock()
	defer g.mu.Unlock()
	return placement.Tick{Permits: maps.Clone(g.permits), Known: maps.Clone(g.knownWorkers)}
}

// recordKnownWorkers records the newest entry of the worker list that the VM of an inbound connection knows of.
func (g *Gateway) recordKnownWorkers(connID uint64, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if revision > 0 {
		g.knownWorkers[connID] = max(g.knownWorkers[connID], revision)
	}
}

// A holder acts on the durable jobs of a group only while it has recent evidence that no other VM can be the recorded holder,
// since only a recorded holder has durable jobs: a call of the store that shows its own record, a Confirmation of a VM that
// had such a call, or, while the store is away, a Confirmation of every registered VM, each of which may have claimed the
// group since. The permit is counted from the sending of the call, or from a reading of the holder's clock that a
// Confirmation returns, so that it ends durablePermitDuration after another VM has read the holder's successor from the store.

// durablePermitDuration is how long a holder may act on durable jobs after the evidence. While nothing changes, the evidence
// of the store is up to two watches old; the rest is for leases, so that they are renewed in full until then.
const durablePermitDuration = 2*ownWatchWait + 500*time.Millisecond

// durableHolderEnd returns the time after which all runs of durable jobs of a replaced holder have ended.
func durableHolderEnd(r placement.Rules) time.Duration {
	end := durablePermitDuration + time.Duration(r.ClockDrift*float64(durablePermitDuration)) + placement.PermitLease + r.LeaseError() + r.KillTime
	return end.Truncate(10*time.Millisecond) + 10*time.Millisecond
}

// durablePermit returns how long the holder of a group may act on its durable jobs, negative after the end of its permit.
func (g *Gateway) durablePermit(d *groupDriver) time.Duration {
	now := g.config.Clock()
	record, storeAt := g.cache.confirmedRecord(d.group)
	if !g.isOwnRecord(record) || d.fence < record.revision*fencesPerRevision {
		return -now // only a recorded holder has durable jobs
	}
	evidence := max(storeAt, time.Duration(d.confirmedAt.Load()), time.Duration(d.peersConfirmedAt.Load()))
	if now-evidence > ownWatchWait && now-time.Duration(d.peersReadAt.Load()) > tickInterval {
		evidence = max(evidence, g.peerEvidence(d.group, record.revision, now))
		d.peersConfirmedAt.Store(int64(evidence))
		d.peersReadAt.Store(int64(now))
	}
	return evidence + durablePermitDuration - now
}

// peerEvidence returns the last time at which the other VMs show that a group has no later record.
func (g *Gateway) peerEvidence(group string, revision int64, now time.Duration) time.Duration {
	zone, _ := splitGroup(group)
	zones := g.cache.otherZones(g.settings.VM)
	g.mu.Lock()
	defer g.mu.Unlock()
	all, relayed := now, time.Duration(0)
	for vm, of := range zones {
		c := g.confirmations[vm]
		if c.Records[group] != revision {
			all = 0
			continue
		}
		if c.StoreAge > 0 {
			relayed = max(relayed, c.Clock-c.StoreAge)
		}
		at := c.Clock
		if of != zone && g.settings.Zone == zone {
			at += g.config.ClaimRules.CrossZoneDelay // it claims the group that much after it has lost this VM
		}
		all = min(all, at)
	}
	return max(all, relayed)
}

// confirmHolders returns the confirmations for the holders to which this VM has a link, by connection.
func (g *Gateway) confirmHolders() map[*peer.Conn]peer.Confirmation {
	clocks := map[*peer.Conn]time.Duration{}
	g.mu.Lock()
	for _, l := range g.links {
		if l.conn != nil {
			clocks[l.conn] = l.conn.Echo()
		}
	}
	g.mu.Unlock()
	// The records are read after the clocks: once this VM has claimed a group, it no longer confirms the earlier holder.
	records, age := g.cache.recordsByHolder()
	confirmations := make(map[*peer.Conn]peer.Confirmation, len(clocks))
	for c, clock := range clocks {
		if held := records[c.Remote().VM]; clock != 0 && len(held) > 0 {
			confirmations[c] = peer.Confirmation{Records: held, Clock: clock, StoreAge: age}
		}
	}
	return confirmations
}

func (g *Gateway) recordConfirmation(vm string, c peer.Confirmation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(c.Records) > 0 && c.Clock >= g.confirmations[vm].Clock {
		g.confirmations[vm] = c
	}
}

// confirmRecords records that the store has answered a call for a prefix; the caller holds the lock.
func (sc *storeCache) confirmRecords(part *watchedPrefix, sent time.Duration) {
	if part.name == ownPrefix {
		sc.confirmedAt = max(sc.confirmedAt, sent)
	}
}

// confirmedRecord returns the record of a group's holder, and when the store last showed that there is no later one.
func (sc *storeCache) confirmedRecord(group string) (holderRecord, time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.holders[group], sc.confirmedAt
}

// recordsByHolder returns the revisions of the holders' records, by VM and group, and the age of the store's last
// confirmation, 0 if there is none.
func (sc *storeCache) recordsByHolder() (records map[string]map[string]int64, age time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	records = map[string]map[string]int64{}
	for group, r := range sc.holders {
		if records[r.VM] == nil {
			records[r.VM] = map[string]int64{}
		}
		records[r.VM][group] = r.revision
	}
	if sc.confirmedAt > 0 {
		age = max(sc.clock()-sc.confirmedAt, 1)
	}
	return records, age
}

// otherZones returns the zones of the registered VMs except one, by VM.
func (sc *storeCache) otherZones(self string) map[string]string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	zones := make(map[string]string, len(sc.vms))
	for vm, r := range sc.vms {
		if vm != self {
			zones[vm] = r.Zone
		}
	}
	return zones
}
