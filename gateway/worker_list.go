package gateway

import (
	"context"
	"reflect"
	"strings"
	"time"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/worker"
)

// The worker list changes with each heartbeat of a worker, some hundred times a second with many workers. So only a few
// VMs of a zone, the watchers, read it from the store and relay the relevant changes to the others. A VM that receives
// them from no watcher reads the list itself at once.

const (
	// twoWatcherZoneSize is the number of VMs of a zone from which on it has two watchers, so that the loss of one does
	// not make all other VMs read the list at the same time.
	twoWatcherZoneSize = 8
	// watcherTimeout is the time without a heartbeat of a watcher after which a VM reads the list itself: three
	// heartbeats.
	watcherTimeout = 3*peer.HeartbeatInterval + 50*time.Millisecond
	// listMaxAge is the age up to which a VM's own reads of the list count as current: the delay between two watches, a
	// watch and a heartbeat.
	listMaxAge = workerWatchInterval + workerWatchTimeout + 200*time.Millisecond
	// workerWatchTimeout is the maximum duration of a watch of the workers. Heartbeats end it much earlier, so a longer
	// wait means that the store is unresponsive.
	workerWatchTimeout = 400 * time.Millisecond
	// upstreamCheckInterval is the interval of checks whether a watcher still relays the list.
	upstreamCheckInterval = 100 * time.Millisecond
	// maxLoggedChanges is the maximum number of changes kept for followers; one that is further behind gets the whole
	// list.
	maxLoggedChanges = 2048
)

// workerChangeLog is the log of the relevant changes of the worker list.
type workerChangeLog struct {
	compactedRevision int64 // changes up to this revision are not in the log
	changes           []peer.WorkerChange
}

func (l *workerChangeLog) add(c peer.WorkerChange) {
	l.changes = append(l.changes, c)
	if excess := len(l.changes) - maxLoggedChanges; excess > 0 {
		l.compactedRevision = l.changes[excess-1].Revision
		l.changes = append([]peer.WorkerChange(nil), l.changes[excess:]...)
	}
}

// followWorkers keeps the worker list up to date, from the store or from watchers.
func (g *Gateway) followWorkers(ctx context.Context) {
	part := g.cache.workerPrefix()
	for ctx.Err() == nil {
		if g.hasUpstream(time.Now()) {
			pause(ctx, upstreamCheckInterval)
			continue
		}
		g.cache.followOnce(ctx, g.config.Store, part, func() bool { return g.hasUpstream(time.Now()) })
	}
}

// hasUpstream reports whether a watcher relays the changes of the worker list to this VM.
func (g *Gateway) hasUpstream(now time.Time) bool {
	watchers := g.watchers()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range watchers {
		if name == g.settings.VM {
			return false
		}
	}
	for _, name := range watchers {
		if l := g.links[name]; l != nil && l.conn != nil && l.followConfirmed && now.Sub(l.lastListHeartbeat) < watcherTimeout {
			return true
		}
	}
	return false
}

// watchers returns the VMs of the own zone that read the worker list: the zone's first reachable candidates for groups.
func (g *Gateway) watchers() []string {
	g.cache.mu.Lock()
	var vms []claim.VM
	for name, r := range g.cache.vms {
		if r.Zone == g.settings.Zone {
			vms = append(vms, claim.VM{Name: name, Zone: r.Zone, CPUShare: r.Weight})
		}
	}
	g.cache.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range vms {
		l := g.links[vms[i].Name]
		switch {
		case vms[i].Name == g.settings.VM:
			vms[i].Stopping = g.stopping.Load()
		case l == nil || l.conn == nil:
			vms[i].SilentFor = watcherTimeout
		default:
			vms[i].Stopping = l.stopping
		}
	}
	return claim.Watchers(g.settings.Zone, vms, twoWatcherZoneSize)
}

// handleListRevision handles the revision up to which a linked VM has read the worker list, which it sends after the
// changes. It requests the changes from a watcher that it does not follow yet.
func (g *Gateway) handleListRevision(c *peer.Conn, l *peerLink, revision int64) {
	if revision == 0 {
		return
	}
	wanted := false
	for _, name := range g.watchers() {
		wanted = wanted || name == l.vm
	}
	g.mu.Lock()
	requestChanges := wanted && !l.followRequested
	l.followRequested = l.followRequested || requestChanges
	followed := l.followConfirmed
	if followed {
		l.lastListHeartbeat = time.Now()
	}
	g.mu.Unlock()
	switch {
	case requestChanges:
		c.Send(peer.Follow{Revision: g.cache.workerRevision()})
	case followed:
		g.cache.confirmWorkerRevision(revision)
	}
}

// handleWorkerChanges applies relayed changes of the worker list.
func (g *Gateway) handleWorkerChanges(l *peerLink, m peer.WorkerChanges) {
	applied := g.cache.applyWorkerChanges(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	l.followConfirmed, l.followRequested = applied, applied // after a gap the changes are requested again
}

// relayWorkerChanges sends new changes of the worker list to the followers; the next heartbeat contains their last
// revision.
func (g *Gateway) relayWorkerChanges() {
	g.mu.Lock()
	behind := make(map[*peer.Conn]int64, len(g.followers))
	for c, revision := range g.followers {
		behind[c] = revision
	}
	g.mu.Unlock()
	for c, revision := range behind {
		m := g.cache.workerChanges(revision)
		if len(m.Changes) > 0 {
			c.Send(m)
		}
		g.setFollowerRevision(c, m.To)
	}
}

// setFollowerRevision records the revision of the worker list that was sent on a connection.
func (g *Gateway) setFollowerRevision(c *peer.Conn, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.inbound[c]; open {
		g.followers[c] = revision
	}
}

// addFollower responds to a Follow with the changes up to now.
func (g *Gateway) addFollower(c *peer.Conn, revision int64) {
	m := g.cache.workerChanges(revision)
	c.Send(m)
	g.setFollowerRevision(c, m.To)
}

// ownListRevision returns the revision up to which this VM has read the worker list from the store itself, 0 if it does
// not read it.
func (g *Gateway) ownListRevision(now time.Time) int64 {
	g.cache.mu.Lock()
	defer g.cache.mu.Unlock()
	if part := g.cache.prefixes[workerPrefixIndex]; now.Sub(part.lastContact) < listMaxAge {
		return part.revision
	}
	return 0
}

// workerPrefixIndex is the index of the worker list in storeCache.prefixes.
const workerPrefixIndex = 2

func (sc *storeCache) workerPrefix() *watchedPrefix { return sc.prefixes[workerPrefixIndex] }

func (sc *storeCache) workerRevision() int64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.workerPrefix().revision
}

// confirmWorkerRevision records that all changes up to a revision are known.
func (sc *storeCache) confirmWorkerRevision(revision int64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	part := sc.workerPrefix()
	part.revision = max(part.revision, revision)
	sc.workersCurrent = time.Now()
}

// workerChanges returns the changes of the worker list after a revision, or the whole list if the log no longer has
// them.
func (sc *storeCache) workerChanges(after int64) peer.WorkerChanges {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	m := peer.WorkerChanges{From: after, To: max(sc.workerPrefix().revision, after)}
	if after < sc.workerLog.compactedRevision {
		m.Whole, m.To = true, sc.workerPrefix().revision
		for key, item := range sc.items {
			if strings.HasPrefix(key, sc.decoder.WorkerPrefix()) {
				m.Changes = append(m.Changes, peer.WorkerChange{Key: key, Value: item.Value, Revision: item.Revision, Created: item.Created})
			}
		}
		return m
	}
	for _, c := range sc.workerLog.changes {
		if c.Revision > after && c.Revision <= m.To {
			m.Changes = append(m.Changes, c)
		}
	}
	return m
}

// applyWorkerChanges applies changes of the worker list that another VM has read; false means that earlier changes are
// missing.
func (sc *storeCache) applyWorkerChanges(m peer.WorkerChanges) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	part := sc.workerPrefix()
	switch {
	case m.Whole:
		items := make([]store.KeyValue, 0, len(m.Changes))
		for _, c := range m.Changes {
			items = append(items, store.KeyValue{Key: c.Key, Value: c.Value, Revision: c.Revision, Created: c.Created})
		}
		sc.replaceAll(part, m.To, items)
	case m.From > part.revision:
		return false
	default:
		for _, c := range m.Changes {
			sc.applyEvent(part, store.Event{KeyValue: store.KeyValue{Key: c.Key, Value: c.Value, Revision: c.Revision, Created: c.Created}, Deleted: c.Removed})
		}
		part.revision = max(part.revision, m.To)
		sc.revision = max(sc.revision, m.To)
		sc.workersCurrent = time.Now()
	}
	if len(m.Changes) > 0 {
		sc.notifyLocked()
	}
	return true
}

// sameWorker reports whether two successive entries of a worker are equal, apart from a cold time that passes.
func sameWorker(a, b worker.Worker) bool {
	if a.ColdFor > 0 && b.ColdFor > 0 && b.ColdFor <= a.ColdFor {
		b.ColdFor = a.ColdFor
	}
	return reflect.DeepEqual(a, b)
}

// workerListIncomplete reports whether workers may exist whose entries expired before this VM first read the list.
func (sc *storeCache) workerListIncomplete(grace time.Duration) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.workersReadAt.IsZero() || time.Since(sc.workersReadAt) < grace
}

// knownWorkers returns the revision with which the newest entry of a worker was created that this VM knows of, at least 1.
func (sc *storeCache) knownWorkers() int64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return max(sc.newestWorker, 1)
}
