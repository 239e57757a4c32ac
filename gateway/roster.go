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

// The list of workers changes with each heartbeat of a worker, some hundred times a second on a large fleet. So only a
// few VMs of a zone read it from the store; they tell the others of the changes that matter. A VM that hears from none
// of them reads it itself at once.

const (
	// twoWatcherZoneSize is the number of VMs of a zone from which on two of them read the list: the loss of one then does
	// not make all the others read it at the same time.
	twoWatcherZoneSize = 8
	// watcherTimeout is the silence of the VMs that read the list after which a VM reads it itself: three heartbeats.
	watcherTimeout = 3*peer.HeartbeatInterval + 50*time.Millisecond
	// listMaxAge is the age up to which a VM counts what it has read as fresh: the pause between two watches, a watch and
	// a heartbeat.
	listMaxAge = workerWatchInterval + workerWatchTimeout + 200*time.Millisecond
	// workerWatchTimeout is the longest wait of a watch of the workers. Heartbeats end it much earlier, so that a longer
	// silence is that of the store.
	workerWatchTimeout = 400 * time.Millisecond
	// upstreamCheckInterval is the pause between two looks at whether other VMs still read the list.
	upstreamCheckInterval = 100 * time.Millisecond
	// maxLoggedChanges bounds the changes that are kept for VMs that follow; one that is further behind gets the whole
	// list.
	maxLoggedChanges = 2048
)

// workerChangeLog is the log of the changes of the list of workers that matter.
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

// followWorkers keeps the list of workers up to date: from the store, or from VMs that read it.
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

// hasUpstream says whether another VM tells this one of the changes of the list of workers.
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

// watchers returns the VMs of the own zone that are to read the list of workers: its first candidates for groups that
// can be reached.
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

// handleListRevision takes in that the VM of a link has read the list of workers up to a revision, after its changes.
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

// handleWorkerChanges takes in changes of the list of workers.
func (g *Gateway) handleWorkerChanges(l *peerLink, m peer.WorkerChanges) {
	applied := g.cache.applyWorkerChanges(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	l.followConfirmed, l.followRequested = applied, applied // after a gap the link is followed anew
}

// relayWorkerChanges tells the VMs that follow of the changes of the list of workers; the next heartbeat says up to
// where they go.
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

// setFollowerRevision notes up to which revision the VM of a connection knows the list of workers.
func (g *Gateway) setFollowerRevision(c *peer.Conn, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.inbound[c]; open {
		g.followers[c] = revision
	}
}

// addFollower answers a Follow with the changes until now.
func (g *Gateway) addFollower(c *peer.Conn, revision int64) {
	m := g.cache.workerChanges(revision)
	c.Send(m)
	g.setFollowerRevision(c, m.To)
}

// ownListRevision returns the revision up to which this VM has read the list of workers from the store itself, 0 if it
// does not.
func (g *Gateway) ownListRevision(now time.Time) int64 {
	g.cache.mu.Lock()
	defer g.cache.mu.Unlock()
	if part := g.cache.prefixes[workerPrefixIndex]; now.Sub(part.lastContact) < listMaxAge {
		return part.revision
	}
	return 0
}

// workerPrefixIndex is the index of the list of workers among the parts of a view.
const workerPrefixIndex = 2

func (sc *storeCache) workerPrefix() *watchedPrefix { return sc.prefixes[workerPrefixIndex] }

func (sc *storeCache) workerRevision() int64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.workerPrefix().revision
}

// confirmWorkerRevision notes that all changes up to a revision are known.
func (sc *storeCache) confirmWorkerRevision(revision int64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	part := sc.workerPrefix()
	part.revision = max(part.revision, revision)
}

// workerChanges returns the changes of the list of workers after a revision.
func (sc *storeCache) workerChanges(after int64) peer.WorkerChanges {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	m := peer.WorkerChanges{From: after, To: max(sc.workerPrefix().revision, after)}
	if after < sc.workerLog.compactedRevision {
		m.Whole, m.To = true, sc.workerPrefix().revision
		for key, item := range sc.items {
			if strings.HasPrefix(key, sc.decoder.WorkerPrefix()) {
				m.Changes = append(m.Changes, peer.WorkerChange{Key: key, Value: item.Value, Revision: item.Revision})
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

// applyWorkerChanges takes in changes of the list of workers that another VM has read; false means that some before
// them are missing.
func (sc *storeCache) applyWorkerChanges(m peer.WorkerChanges) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	part := sc.workerPrefix()
	switch {
	case m.Whole:
		items := make([]store.KeyValue, 0, len(m.Changes))
		for _, c := range m.Changes {
			items = append(items, store.KeyValue{Key: c.Key, Value: c.Value, Revision: c.Revision})
		}
		sc.replaceAll(part, m.To, items)
	case m.From > part.revision:
		return false
	default:
		for _, c := range m.Changes {
			sc.applyEvent(part, store.Event{KeyValue: store.KeyValue{Key: c.Key, Value: c.Value, Revision: c.Revision}, Deleted: c.Removed})
		}
		part.revision = max(part.revision, m.To)
		sc.revision = max(sc.revision, m.To)
	}
	if len(m.Changes) > 0 {
		sc.notifyLocked()
	}
	return true
}

// sameWorker says whether two entries of a worker differ in nothing that matters here.
func sameWorker(a, b worker.Worker) bool { return reflect.DeepEqual(a, b) }
