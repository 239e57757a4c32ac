package slot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Policy selects how entry VMs share the slots of endpoints.
type Policy uint8

// The slot policies; all but Loans are baselines for comparison.
const (
	// Loans gives each endpoint one owner that lends slots to its peers.
	Loans Policy = iota
	// FixedShare gives each entry VM a fixed part of the slots of each endpoint.
	FixedShare
	// TwoChoices takes the less used of two random endpoints and leaves the rest to the guards.
	TwoChoices
)

// Config sets up a Pool; zero durations have the defaults of the design.
type Config struct {
	VM               string
	Incarnation      uint64 // grows with each start of the VM
	Policy           Policy
	Seed             uint64        // of the random choices of TwoChoices
	LoanDuration     time.Duration // default 1 s
	LoanSafetyMargin time.Duration // a borrower stops this long before the term ends; default 200 ms
	RenewInterval    time.Duration // default 100 ms
	IdleTimeout      time.Duration // an unused loan is returned after this time; default 50 ms
	PauseThreshold   time.Duration // a longer gap between calls counts as a frozen clock; default 500 ms
}

// The intervals of demand messages.
const (
	wantInterval   = 2 * time.Millisecond   // shortest time between two wants to one peer
	wantAnswer     = 20 * time.Millisecond  // an answer is expected within this time
	wantRepeat     = 100 * time.Millisecond // a want that the lender remembers is repeated after this time
	wantTerm       = 250 * time.Millisecond // a lender forgets a want after this time
	recallInterval = 50 * time.Millisecond  // shortest time between two recalls to one peer
	recallTerm     = 200 * time.Millisecond // a borrower forgets a recall that isn't repeated
	reportInterval = 100 * time.Millisecond // handovers are repeated this often
	releaseRepeat  = 350 * time.Millisecond // and for this long if nothing is occupied
)

// Endpoint is an endpoint with its owner and number of slots.
type Endpoint struct {
	ID    string
	Owner string // id of an entry VM
	Slots int
}

// Allocation is the number of slots of the zone that an entry VM is entitled to while demand exceeds supply.
type Allocation struct {
	VM    string
	Slots float64
}

// Slot is the right to run one task on an endpoint.
type Slot struct {
	ID       uint64 // of this ledger only
	Endpoint string
}

// Counts are the numbers of slots by state.
type Counts struct {
	Owned    int `json:"owned"` // slots of the endpoints that this VM owns
	Lent     int `json:"lent"`
	Borrowed int `json:"borrowed"` // loans held, in use or not
	InUse    int `json:"in-use"`   // tasks in flight, on owned and borrowed slots
	Idle     int `json:"idle"`     // owned or borrowed slots that TryAcquire may give
	Withheld int `json:"withheld"`
	Occupied int `json:"occupied"` // owned slots that peers occupy outside of loans
	Waiting  int `json:"waiting"`  // owned slots that are not yet usable after a change of owner or a freeze
}

// Pool keeps the slots of one service on one entry VM; it isn't safe for concurrent use.
type Pool struct {
	config Config
	term   int64
	margin int64
	random *rand.Rand

	base  time.Time
	last  int64 // latest time seen, in wall-clock nanoseconds that advance with the monotonic clock
	wall  int64 // the wall clock then; it also advances while the VM is suspended
	first int64 // time of the first endpoints

	nodes  []*node // sorted by id
	byID   map[string]*node
	peers  []*peer // sorted by id; lost ones stay until their loans end
	byPeer map[string]*peer

	rings [2]ring // endpoints with an idle slot: owned and borrowed

	uses []use
	free []uint32 // unused indexes of uses

	lastGiven  uint64 // of forgotten peers; ids are not used again if one returns
	ownedSlots int
	lendable   int // idle owned slots of healthy endpoints
	ownUse     int // occupied slots of owned endpoints
	inUse      int
	withheld   int
	yield      int // idle owned slots that TryAcquire leaves to peers below their target
	claim      int // slots that this VM lacks of its target
	askFrom    int // peer that is asked first
	serveFrom  int // peer that is served first
	draining   bool

	nextReport int64
	changed    bool  // a handover has something new
	resumed    int64 // time at which a freeze ended, 0 after the peers have answered
	nextResume int64
}

// use is a task in flight or a withheld slot.
type use struct {
	generation uint32
	node       *node
	loan       *loan // nil if the slot is owned or the loan was lost
	withheld   bool
}

// peer is another entry VM of the zone, as borrower and as lender.
type peer struct {
	id    string
	live  bool
	owned int

	given      []grant // loans to the peer, sorted by id
	lastGiven  uint64
	want       int
	wantSent   int64 // stamp of the last want
	wantUntil  int64
	target     float64
	allotment  int // slots that this VM should lend to the peer, by the targets
	claim      int // slots that the peer lacks of its allotment
	nextRecall int64

	epoch       uint64
	through     uint64
	taken       []*loan // loans of the peer, sorted by id
	returns     []Range
	nextRenew   int64
	surrender   int // loans to return when their tasks end
	surrenderBy int64
	asked       int // unanswered want
	askedAt     int64
	open        int // asked and not yet lent, which the lender may still grant
	idle        int // idle slots of the lender by its last answer
	clear       bool
}

// New returns an empty ledger.
func New(config Config) *Pool {
	setDefault(&config.LoanDuration, time.Second)
	setDefault(&config.LoanSafetyMargin, config.LoanDuration/5)
	setDefault(&config.RenewInterval, 100*time.Millisecond)
	setDefault(&config.IdleTimeout, 50*time.Millisecond)
	setDefault(&config.PauseThreshold, 500*time.Millisecond)
	return &Pool{
		config: config,
		term:   int64(config.LoanDuration),
		margin: int64(config.LoanSafetyMargin),
		rings:  [2]ring{{kind: owned}, {kind: borrowed}},
		random: rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
		byID:   map[string]*node{},
		byPeer: map[string]*peer{},
	}
}

func setDefault(value *time.Duration, standard time.Duration) {
	if *value == 0 {
		*value = standard
	}
}

// observe converts the time and detects a frozen clock.
func (l *Pool) observe(now time.Time) int64 {
	wall := now.UnixNano()
	if l.last == 0 {
		l.base, l.last, l.wall = now, wall, wall
		return l.last
	}
	t := l.base.UnixNano() + int64(now.Sub(l.base))
	gap := max(t-l.last, wall-l.wall)
	l.last, l.wall = max(l.last, t), wall
	if gap > int64(l.config.PauseThreshold) {
		l.freeze(l.last)
	}
	return l.last
}

// stamp is the time that peers echo.
func stamp(t int64) int64 { return t / int64(time.Millisecond) }

// SetPeers gives the live entry VMs of the zone, with leaving ones until they are gone; it precedes SetEndpoints.
func (l *Pool) SetPeers(now time.Time, ids []string) {
	l.observe(now)
	for _, p := range l.peers {
		p.live = false
	}
	for _, id := range ids {
		if id != l.config.VM {
			l.peer(id).live = true
		}
	}
	l.peers = slices.DeleteFunc(l.peers, func(p *peer) bool {
		unused := !p.live && len(p.given) == 0 && len(p.taken) == 0
		if unused {
			l.lastGiven = max(l.lastGiven, p.lastGiven)
			delete(l.byPeer, p.id)
		}
		return unused
	})
	l.countOwned()
	l.setShares()
}

// peer returns the state of a peer and creates it.
func (l *Pool) peer(id string) *peer {
	if p := l.byPeer[id]; p != nil {
		return p
	}
	p := &peer{id: id, lastGiven: l.lastGiven}
	l.byPeer[id] = p
	l.peers = append(l.peers, p)
	slices.SortFunc(l.peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	return p
}

func (l *Pool) livePeers() int {
	count := 0
	for _, p := range l.peers {
		if p.live {
			count++
		}
	}
	return count
}

// Receive handles a message of a peer.
func (l *Pool) Receive(now time.Time, from string, m PeerMessage, out []Envelope) []Envelope {
	t := l.observe(now)
	p := l.byPeer[from]
	if p == nil || l.config.Policy != Loans {
		return out
	}
	switch m := m.(type) {
	case Want:
		return l.receiveWant(t, p, m, out)
	case Lend:
		return l.receiveLend(t, p, m, out)
	case Renew:
		return l.receiveRenew(t, p, m, out)
	case Renewed:
		return l.receiveRenewed(t, p, m, out)
	case Return:
		l.receiveReturn(p, m)
	case Holdings:
		l.receiveHoldings(p, m)
	case Recall:
		l.receiveRecall(t, p, m)
	case Handover:
		l.receiveHandover(t, p, m)
	case Resume:
		return append(out, Envelope{p.id, Resumed{Sent: m.Sent, Clear: l.tookNothing(p)}})
	case Resumed:
		l.receiveResumed(p, m)
	}
	return out
}

// Tick expires, renews, returns and recalls loans and asks for slots for wanted queued tasks that could start; it is due
// every 10 ms.
func (l *Pool) Tick(now time.Time, wanted int, targets []Allocation, out []Envelope) []Envelope {
	t := l.observe(now)
	if l.config.Policy != Loans {
		return out
	}
	l.expire(t)
	out = l.resume(t, out)
	out = l.reportOccupied(t, out)
	out = l.balance(t, wanted, targets, out)
	out = l.returnIdle(t, out)
	out = l.request(t, wanted, out)
	return l.renew(t, out)
}

// RequestLoans asks peers for slots for wanted queued tasks if TryAcquire gives none; Tick does the same.
func (l *Pool) RequestLoans(now time.Time, wanted int, out []Envelope) []Envelope {
	t := l.observe(now)
	if l.config.Policy != Loans {
		return out
	}
	return l.request(t, wanted, out)
}

// Drain starts the graceful shutdown: no more loans are given, and loans are returned as soon as they fall idle.
func (l *Pool) Drain(now time.Time) {
	l.observe(now)
	l.draining = true
}

// Drained reports whether no task is in flight and no slot is lent or owned.
func (l *Pool) Drained() bool {
	c := l.Counts()
	return c.Owned == 0 && c.Lent == 0 && c.InUse == 0 && c.Borrowed == 0
}

// Counts returns the numbers of slots by state.
func (l *Pool) Counts() Counts {
	c := Counts{InUse: l.inUse, Withheld: l.withheld, Owned: l.ownedSlots}
	for _, p := range l.peers {
		c.Lent += len(p.given)
		c.Borrowed += len(p.taken)
	}
	for _, n := range l.nodes {
		c.Idle += min(n.idle()+len(n.loans), max(0, n.bound-n.using))
		if !n.mine {
			continue
		}
		c.Occupied += n.occupied()
		if n.waiting != 0 {
			c.Waiting += n.slots
		}
	}
	return c
}
