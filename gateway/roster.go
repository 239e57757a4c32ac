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

// The list of workers changes with each heartbeat of a worker, some hundred times a second on a large fleet. So only a few
// VMs of a zone read it from the store; they tell the others of the changes that matter. A VM that hears from none of
// them reads it itself at once.

const (
	// largeZone is the number of VMs of a zone from which on two of them read the list: the loss of one then does not make
	// all the others read it at the same time.
	largeZone = 8
	// relayTime is the silence of the VMs that read the list after which a VM reads it itself: three heartbeats.
	relayTime = 3*peer.HeartbeatInterval + 50*time.Millisecond
	// listedTime is the age up to which a VM counts what it has read as fresh: the pause between two watches, a watch and
	// a heartbeat.
	listedTime = workerRest + workerWait + 200*time.Millisecond
	// workerWait is the longest wait of a watch of the workers. Heartbeats end it much earlier, so that a longer silence
	// is that of the store.
	workerWait = 400 * time.Millisecond
	// relayRest is the pause between two looks at whether other VMs still read the list.
	relayRest = 100 * time.Millisecond
	// maxChanges bounds the changes that are kept for VMs that follow; one that is further behind gets the whole list.
	maxChanges = 2048
)

// roster is the log of the changes of the list of workers that matter.
type roster struct {
	floor   int64 // changes up to this revision are not in the log
	changes []peer.WorkerChange
}

func (r *roster) add(c peer.WorkerChange) {
	r.changes = append(r.changes, c)
	if excess := len(r.changes) - maxChanges; excess > 0 {
		r.floor = r.changes[excess-1].Revision
		r.changes = append([]peer.WorkerChange(nil), r.changes[excess:]...)
	}
}

// followWorkers keeps the list of workers up to date: from the store, or from VMs that read it.
func (g *Gateway) followWorkers(ctx context.Context) {
	part := g.view.workerPart()
	for ctx.Err() == nil {
		if g.relayed(time.Now()) {
			pause(ctx, relayRest)
			continue
		}
		g.view.followOnce(ctx, g.config.Store, part, func() bool { return g.relayed(time.Now()) })
	}
}

// relayed says whether another VM tells this one of the changes of the list of workers.
func (g *Gateway) relayed(now time.Time) bool {
	readers := g.readers()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range readers {
		if name == g.settings.VM {
			return false
		}
	}
	for _, name := range readers {
		if l := g.links[name]; l != nil && l.conn != nil && l.followed && now.Sub(l.listedAt) < relayTime {
			return true
		}
	}
	return false
}

// readers returns the VMs of the own zone that are to read the list of workers: its first candidates for groups that can
// be reached.
func (g *Gateway) readers() []string {
	g.view.mu.Lock()
	var vms []claim.VM
	for name, r := range g.view.vms {
		if r.Zone == g.settings.Zone {
			vms = append(vms, claim.VM{Name: name, Zone: r.Zone, CPUShare: r.Weight})
		}
	}
	g.view.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range vms {
		l := g.links[vms[i].Name]
		switch {
		case vms[i].Name == g.settings.VM:
			vms[i].Stopping = g.stopping.Load()
		case l == nil || l.conn == nil:
			vms[i].SilentFor = relayTime
		default:
			vms[i].Stopping = l.stopping
		}
	}
	return claim.Watchers(g.settings.Zone, vms, largeZone)
}

// heardListed takes in that the VM of a link has read the list of workers up to a revision, after its changes.
func (g *Gateway) heardListed(c *peer.Conn, l *link, revision int64) {
	if revision == 0 {
		return
	}
	wanted := false
	for _, name := range g.readers() {
		wanted = wanted || name == l.vm
	}
	g.mu.Lock()
	ask := wanted && !l.following
	l.following = l.following || ask
	followed := l.followed
	if followed {
		l.listedAt = time.Now()
	}
	g.mu.Unlock()
	switch {
	case ask:
		c.Send(peer.Follow{Revision: g.view.workerRevision()})
	case followed:
		g.view.confirmWorkers(revision)
	}
}

// heardChanges takes in changes of the list of workers.
func (g *Gateway) heardChanges(l *link, m peer.WorkerChanges) {
	taken := g.view.takeWorkers(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	l.followed, l.following = taken, taken // after a gap the link is followed anew
}

// relay tells the VMs that follow of the changes of the list of workers; the next heartbeat says up to where they go.
func (g *Gateway) relay() {
	g.mu.Lock()
	behind := make(map[*peer.Conn]int64, len(g.followers))
	for c, revision := range g.followers {
		behind[c] = revision
	}
	g.mu.Unlock()
	for c, revision := range behind {
		m := g.view.workerChanges(revision)
		if len(m.Changes) > 0 {
			c.Send(m)
		}
		g.follow(c, m.To)
	}
}

// follow notes up to which revision the VM of a connection knows the list of workers.
func (g *Gateway) follow(c *peer.Conn, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.inbound[c]; open {
		g.followers[c] = revision
	}
}

// beginFollow answers a Follow with the changes until now.
func (g *Gateway) beginFollow(c *peer.Conn, revision int64) {
	m := g.view.workerChanges(revision)
	c.Send(m)
	g.follow(c, m.To)
}

// listedUpTo returns the revision up to which this VM has read the list of workers from the store itself, 0 if it does not.
func (g *Gateway) listedUpTo(now time.Time) int64 {
	g.view.mu.Lock()
	defer g.view.mu.Unlock()
	if part := g.view.parts[workerPart]; now.Sub(part.contact) < listedTime {
		return part.revision
	}
	return 0
}

// workerPart is the index of the list of workers among the parts of a view.
const workerPart = 2

func (v *view) workerPart() *prefix { return v.parts[workerPart] }

func (v *view) workerRevision() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.workerPart().revision
}

// confirmWorkers notes that all changes up to a revision are known.
func (v *view) confirmWorkers(revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	part := v.workerPart()
	part.revision = max(part.revision, revision)
}

// workerChanges returns the changes of the list of workers after a revision.
func (v *view) workerChanges(after int64) peer.WorkerChanges {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := peer.WorkerChanges{From: after, To: max(v.workerPart().revision, after)}
	if after < v.roster.floor {
		m.Whole, m.To = true, v.workerPart().revision
		for key, item := range v.items {
			if strings.HasPrefix(key, v.codec.WorkerPrefix()) {
				m.Changes = append(m.Changes, peer.WorkerChange{Key: key, Value: item.Value, Revision: item.Revision})
			}
		}
		return m
	}
	for _, c := range v.roster.changes {
		if c.Revision > after && c.Revision <= m.To {
			m.Changes = append(m.Changes, c)
		}
	}
	return m
}

// takeWorkers takes in changes of the list of workers that another VM has read; false means that some before them are
// missing.
func (v *view) takeWorkers(m peer.WorkerChanges) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	part := v.workerPart()
	switch {
	case m.Whole:
		items := make([]store.KeyValue, 0, len(m.Changes))
		for _, c := range m.Changes {
			items = append(items, store.KeyValue{Key: c.Key, Value: c.Value, Revision: c.Revision})
		}
		v.replace(part, m.To, items)
	case m.From > part.revision:
		return false
	default:
		for _, c := range m.Changes {
			v.change(part, store.Event{KeyValue: store.KeyValue{Key: c.Key, Value: c.Value, Revision: c.Revision}, Deleted: c.Removed})
		}
		part.revision = max(part.revision, m.To)
		v.revision = max(v.revision, m.To)
	}
	if len(m.Changes) > 0 {
		v.signal()
	}
	return true
}

// sameWorker says whether two entries of a worker differ in nothing that matters here.
func sameWorker(a, b worker.Worker) bool { return reflect.DeepEqual(a, b) }
