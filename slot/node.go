package slot

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// node is the state of one endpoint.
type node struct {
	id       string
	owner    string
	lost     string // owner that was lost when this VM took over
	mine     bool
	listed   bool
	total    int // slots of the endpoint
	slots    int // total, or the part of this VM with FixedShare
	bound    int // tasks that health allows this VM at once
	using    int // tasks of this VM in flight
	own      int // tasks and withheld slots of this VM that no loan covers
	lent     int
	withheld int       // slots whose task got no answer
	foreign  []foreign // occupied by peers outside of loans, sorted by peer
	waiting  int64     // the slots are not used before this time; 0 if they are free to use
	frozen   bool      // waiting because of a frozen clock

	turn      uint64 // number of changes of the owner, as far as known; a late release has a lower one
	released  int64  // time at which the last owner gave up the endpoint
	announce  int64  // this VM tells the new owner until then that it has given up the endpoint
	announced int    // occupied slots in the last handover
	told      bool   // the last handover said so

	loans []*loan // idle loans; the last one was used last

	counted int // share of this endpoint in Pool.lendable
	busy    int // share of this endpoint in Pool.ownUse
	links   [2]link
}

// foreign is a number of slots that a peer occupies; it lapses unless the peer repeats it.
type foreign struct {
	peer  string
	count int
	sent  int64
	until int64
}

// occupied is the number of slots that peers occupy outside of loans.
func (n *node) occupied() int {
	sum := 0
	for _, f := range n.foreign {
		sum += f.count
	}
	return sum
}

// idle is the number of owned slots that nobody uses.
func (n *node) idle() int {
	if !n.mine || n.waiting != 0 {
		return 0
	}
	return max(0, n.slots-n.own-n.lent-n.occupied())
}

// lendable is the number of idle slots for loans; a borrower bounds its own use of an endpoint on trial as well.
func (n *node) lendable() int {
	if n.bound >= n.slots {
		return n.idle()
	}
	return min(n.idle(), max(0, n.bound-n.lent))
}

// update brings the totals and the rings of the ledger up to date after a change of an endpoint.
func (l *Pool) update(n *node) {
	idle := n.idle()
	lendable, busy := n.lendable(), 0
	if n.mine {
		busy = n.own
	}
	l.lendable += lendable - n.counted
	l.ownUse += busy - n.busy
	n.counted, n.busy = lendable, busy
	if n.announced > 0 && !n.mine {
		l.changed = true
	}
	l.rings[owned].set(n, idle > 0 && n.using < n.bound)
	l.rings[borrowed].set(n, len(n.loans) > 0 && n.using < n.bound && n.listed)
}

// SetEndpoints gives all endpoints of the service in the zone.
func (l *Pool) SetEndpoints(now time.Time, capacities []Endpoint) {
	t := l.observe(now)
	if l.first == 0 && len(capacities) > 0 {
		l.first = t
	}
	for _, n := range l.nodes {
		n.listed = false
	}
	for _, c := range capacities {
		n := l.byID[c.ID]
		if n == nil {
			n = l.addNode(c.ID)
			n.waiting = l.startWait(t)
		}
		n.listed = true
		n.total, n.slots = c.Slots, c.Slots
		l.setOwner(t, n, c.Owner)
	}
	for _, n := range l.nodes {
		if !n.listed {
			n.total, n.slots = 0, 0
			l.restore(t, n)
			l.setOwner(t, n, "")
		}
	}
	l.dropUnlisted()
	l.countOwned()
	l.setShares()
}

// startWait is the time before which a VM that has just started uses no slot, because its predecessor may have lent it.
func (l *Pool) startWait(t int64) int64 {
	if l.config.Policy != Loans || l.livePeers() == 0 || t >= l.first+l.term {
		return 0
	}
	return l.first + l.term
}

func (l *Pool) addNode(id string) *node {
	n := &node{id: id, bound: math.MaxInt}
	l.byID[id] = n
	at, _ := slices.BinarySearchFunc(l.nodes, id, func(n *node, id string) int { return cmp.Compare(n.id, id) })
	l.nodes = slices.Insert(l.nodes, at, n)
	return n
}

// dropUnlisted forgets endpoints that are no longer listed once no task runs on them.
func (l *Pool) dropUnlisted() {
	l.nodes = slices.DeleteFunc(l.nodes, func(n *node) bool {
		unused := !n.listed && n.own == 0 && n.using == 0 && n.lent == 0 && len(n.loans) == 0
		if unused {
			delete(l.byID, n.id)
		}
		return unused
	})
}

// countOwned sums the slots by owner.
func (l *Pool) countOwned() {
	l.ownedSlots = 0
	for _, p := range l.peers {
		p.owned = 0
	}
	for _, n := range l.nodes {
		if n.mine {
			l.ownedSlots += n.slots
		} else if p := l.byPeer[n.owner]; p != nil {
			p.owned += n.slots
		}
	}
}

// SetConcurrencyLimit bounds the tasks of this VM on an endpoint: 0 while it is ejected, 1 or 2 on trial.
func (l *Pool) SetConcurrencyLimit(endpoint string, slots int) {
	if n := l.byID[endpoint]; n != nil && n.bound != slots {
		n.bound = slots
		l.update(n)
	}
}
