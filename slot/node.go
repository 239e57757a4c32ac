package slot

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// endpointState is the state of one endpoint.
type endpointState struct {
	id               string
	owner            string
	lostOwner        string // owner that was unreachable when this VM took over
	ownedHere        bool
	listed           bool
	total            int // slots of the endpoint
	slots            int // total, or the share of this VM with FixedShare
	concurrencyLimit int // tasks that the endpoint's health allows this VM at once
	inFlight         int // tasks of this VM in flight
	unloanedUse      int // tasks and withheld slots of this VM without a loan
	lent             int
	withheld         int       // slots whose task got no response
	peerUses         []peerUse // slots occupied by peers without loans, sorted by peer
	blockedUntil     int64     // the slots are not used before this time; 0 if they are usable
	blockedByPause   bool      // blocked because of a pause

	ownerEpoch    uint64 // number of the last known ownership change; a late release has a lower one
	releasedAt    int64  // time at which the last owner released the endpoint
	announceUntil int64  // until this time the VM announces its release to the new owner
	reportedCount int    // occupied slots in the last handover
	releaseSent   bool   // the last handover announced the release

	loans []*loanIn // idle loans; the last one was used most recently

	countedLendable int // contribution of this endpoint to Pool.lendable
	countedUse      int // contribution of this endpoint to Pool.ownUse
	links           [2]link
}

// peerUse is a number of slots that a peer occupies; it expires unless the peer repeats it.
type peerUse struct {
	peer  string
	count int
	sent  int64
	until int64
}

// occupied returns the number of slots that peers occupy without loans.
func (n *endpointState) occupied() int {
	sum := 0
	for _, f := range n.peerUses {
		sum += f.count
	}
	return sum
}

// idle returns the number of owned slots that no VM uses.
func (n *endpointState) idle() int {
	if !n.ownedHere || n.blockedUntil != 0 {
		return 0
	}
	return max(0, n.slots-n.unloanedUse-n.lent-n.occupied())
}

// lendable returns the number of idle slots available for loans; a borrower limits its own use of a half-open endpoint
// as well.
func (n *endpointState) lendable() int {
	if n.concurrencyLimit >= n.slots {
		return n.idle()
	}
	return min(n.idle(), max(0, n.concurrencyLimit-n.lent))
}

// refreshCounts updates the totals and endpoint lists of the pool after a change of an endpoint.
func (l *Pool) refreshCounts(n *endpointState) {
	idle := n.idle()
	lendable, busy := n.lendable(), 0
	if n.ownedHere {
		busy = n.unloanedUse
	}
	l.lendable += lendable - n.countedLendable
	l.ownUse += busy - n.countedUse
	n.countedLendable, n.countedUse = lendable, busy
	if n.reportedCount > 0 && !n.ownedHere {
		l.handoverDirty = true
	}
	l.available[owned].set(n, idle > 0 && n.inFlight < n.concurrencyLimit)
	l.available[borrowed].set(n, len(n.loans) > 0 && n.inFlight < n.concurrencyLimit && n.listed)
}

// SetEndpoints sets all endpoints of the service in the zone.
func (l *Pool) SetEndpoints(now time.Time, capacities []Endpoint) {
	t := l.observeTime(now)
	if l.firstEndpointsAt == 0 && len(capacities) > 0 {
		l.firstEndpointsAt = t
	}
	for _, n := range l.endpoints {
		n.listed = false
	}
	for _, c := range capacities {
		n := l.byID[c.ID]
		if n == nil {
			n = l.addEndpoint(c.ID)
			n.blockedUntil = l.initialBlock(t)
		}
		n.listed = true
		n.total, n.slots = c.Slots, c.Slots
		l.setOwner(t, n, c.Owner)
	}
	for _, n := range l.endpoints {
		if !n.listed {
			n.total, n.slots = 0, 0
			l.releaseWithheld(t, n)
			l.setOwner(t, n, "")
		}
	}
	l.removeUnlisted()
	l.countOwned()
	l.applyStaticPolicy()
}

// initialBlock returns the time until which a newly started VM uses no slot, because its previous incarnation may have
// lent it; 0 if there is no such time.
func (l *Pool) initialBlock(t int64) int64 {
	if l.config.Policy != Loans || l.livePeers() == 0 || t >= l.firstEndpointsAt+l.loanTerm {
		return 0
	}
	return l.firstEndpointsAt + l.loanTerm
}

func (l *Pool) addEndpoint(id string) *endpointState {
	n := &endpointState{id: id, concurrencyLimit: math.MaxInt}
	l.byID[id] = n
	at, _ := slices.BinarySearchFunc(l.endpoints, id, func(n *endpointState, id string) int { return cmp.Compare(n.id, id) })
	l.endpoints = slices.Insert(l.endpoints, at, n)
	return n
}

// removeUnlisted removes endpoints that are no longer listed and have no tasks or loans.
func (l *Pool) removeUnlisted() {
	l.endpoints = slices.DeleteFunc(l.endpoints, func(n *endpointState) bool {
		unused := !n.listed && n.unloanedUse == 0 && n.inFlight == 0 && n.lent == 0 && len(n.loans) == 0
		if unused {
			delete(l.byID, n.id)
		}
		return unused
	})
}

// countOwned recomputes the number of slots that each VM owns.
func (l *Pool) countOwned() {
	l.ownedSlots = 0
	for _, p := range l.peers {
		p.owned = 0
	}
	for _, n := range l.endpoints {
		if n.ownedHere {
			l.ownedSlots += n.slots
		} else if p := l.byPeer[n.owner]; p != nil {
			p.owned += n.slots
		}
	}
}

// SetConcurrencyLimit limits the tasks of this VM on an endpoint: 0 while it is ejected, 1 or 2 while it is half-open.
func (l *Pool) SetConcurrencyLimit(endpoint string, slots int) {
	if n := l.byID[endpoint]; n != nil && n.concurrencyLimit != slots {
		n.concurrencyLimit = slots
		l.refreshCounts(n)
	}
}
