package slot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Policy selects how entry VMs share the slots of endpoints.
type Policy uint8

// The slot policies; all except Loans are baselines for comparison.
const (
	// Loans gives each endpoint one owner that lends slots to its peers.
	Loans Policy = iota
	// FixedShare gives each entry VM a fixed share of the slots of each endpoint.
	FixedShare
	// TwoChoices takes the endpoint with fewer tasks in flight of two random ones; the endpoints' guards refuse excess
	// tasks.
	TwoChoices
)

// Config holds the settings of a Pool; zero durations are replaced by the defaults below.
type Config struct {
	VM               string
	Incarnation      uint64 // increases with each start of the VM
	Policy           Policy
	Seed             uint64        // seed of the random choices of TwoChoices
	LoanDuration     time.Duration // default 1 s
	LoanSafetyMargin time.Duration // a borrower stops using a loan this long before the term ends; default 200 ms
	RenewInterval    time.Duration // default 100 ms
	IdleTimeout      time.Duration // an unused loan is returned after this time; default 50 ms
	PauseThreshold   time.Duration // a longer gap between calls counts as a pause of the VM; default 500 ms
}

// Intervals and timeouts of messages between VMs.
const (
	minWantInterval    = 2 * time.Millisecond   // minimum interval of wants to one peer
	wantAnswerTimeout  = 20 * time.Millisecond  // a response is expected within this time
	wantRepeatInterval = 100 * time.Millisecond // a want that the lender remembers is repeated after this time
	wantTTL            = 250 * time.Millisecond // a lender discards a want after this time
	minRecallInterval  = 50 * time.Millisecond  // minimum interval of recalls to one peer
	recallTTL          = 200 * time.Millisecond // a borrower discards a recall that isn't repeated
	reportInterval     = 100 * time.Millisecond // handovers are repeated at this interval
	releaseRepeatTime  = 350 * time.Millisecond // a release is repeated for this time even if nothing is occupied
)

// Endpoint is an endpoint with its owner and number of slots.
type Endpoint struct {
	ID    string
	Owner string // id of an entry VM
	Slots int
}

// Allocation is the number of slots of the zone allocated to an entry VM while demand exceeds supply.
type Allocation struct {
	VM    string
	Slots float64
}

// Slot is the right to run one task on an endpoint.
type Slot struct {
	ID       uint64 // unique within this pool only
	Endpoint string
}

// Counts are the numbers of slots by state.
type Counts struct {
	Owned    int `json:"owned"` // slots of the endpoints that this VM owns
	Lent     int `json:"lent"`
	Borrowed int `json:"borrowed"` // loans held, in use or idle
	InUse    int `json:"in-use"`   // tasks in flight, on owned and borrowed slots
	Idle     int `json:"idle"`     // owned or borrowed slots that TryAcquire may return
	Withheld int `json:"withheld"`
	Occupied int `json:"occupied"` // owned slots that peers occupy without a loan
	Waiting  int `json:"waiting"`  // owned slots that are not yet usable after a change of owner or a pause
}

// Pool manages the slots of one service on one entry VM; it isn't safe for concurrent use.
type Pool struct {
	config   Config
	loanTerm int64
	margin   int64
	random   *rand.Rand

	base             time.Time
	lastNow          int64 // latest time seen, in wall-clock nanoseconds that advance with the monotonic clock
	lastWall         int64 // wall clock at lastNow; it also advances while the VM is suspended
	firstEndpointsAt int64 // time of the first SetEndpoints call with endpoints

	endpoints []*endpointState // sorted by id
	byID      map[string]*endpointState
	peers     []*peer // sorted by id; unreachable ones stay until their loans end
	byPeer    map[string]*peer

	available [2]endpointList // endpoints with an idle slot, by kind: owned and borrowed

	uses []slotUse
	free []uint32 // unused indexes of uses

	maxLentID        uint64 // highest loan id given to removed peers; ids are not reused if such a peer returns
	ownedSlots       int
	lendable         int // idle owned slots of healthy endpoints
	ownUse           int // owned slots that this VM uses
	inUse            int
	withheld         int
	reservedForPeers int // idle owned slots that TryAcquire leaves to peers below their target
	shortfall        int // slots that this VM is missing from its target
	nextLender       int // index of the peer that is asked first
	nextBorrower     int // index of the peer that is served first
	draining         bool

	nextReport    int64
	handoverDirty bool  // a handover has changes to report
	resumedAt     int64 // time at which a pause ended, 0 after the peers have answered
	nextResume    int64
}

// slotUse is a task in flight or a withheld slot.
type slotUse struct {
	generation uint32
	endpoint   *endpointState
	loan       *loanIn // nil if the slot is owned or the loan was removed
	withheld   bool
}

// peer is another entry VM of the zone, as borrower and as lender.
type peer struct {
	id    string
	live  bool
	owned int

	lent       []loanOut // loans given to the peer, sorted by id
	lastLentID uint64
	openWant   int
	wantStamp  int64 // stamp of the last want
	wantUntil  int64
	target     float64
	lendTarget int // slots that this VM should lend to the peer according to the targets
	shortfall  int // slots that the peer is missing from its lend target
	nextRecall int64

	lenderEpoch     uint64
	lastLoanID      uint64
	borrowed        []*loanIn // loans received from the peer, sorted by id
	returns         []Range
	nextRenew       int64
	recalled        int // number of loans to return when their tasks end
	recallUntil     int64
	unansweredWant  int // slots of the last want that the peer may still respond to
	lastWantAt      int64
	outstandingWant int // slots wanted and not yet lent, which the lender may still lend
	lenderIdle      int // idle slots of the lender by its last response
	confirmedClear  bool
	mustAnswer      bool // was live before the last pause and has not answered since
}

// New returns an empty pool.
func New(config Config) *Pool {
	setDefault(&config.LoanDuration, time.Second)
	setDefault(&config.LoanSafetyMargin, config.LoanDuration/5)
	setDefault(&config.RenewInterval, 100*time.Millisecond)
	setDefault(&config.IdleTimeout, 50*time.Millisecond)
	setDefault(&config.PauseThreshold, 500*time.Millisecond)
	return &Pool{
		config:    config,
		loanTerm:  int64(config.LoanDuration),
		margin:    int64(config.LoanSafetyMargin),
		available: [2]endpointList{{kind: owned}, {kind: borrowed}},
		random:    rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
		byID:      map[string]*endpointState{},
		byPeer:    map[string]*peer{},
	}
}

func setDefault(value *time.Duration, standard time.Duration) {
	if *value == 0 {
		*value = standard
	}
}

// observeTime converts the time to nanoseconds and detects a pause of the VM.
func (l *Pool) observeTime(now time.Time) int64 {
	wall := now.UnixNano()
	if l.lastNow == 0 {
		l.base, l.lastNow, l.lastWall = now, wall, wall
		return l.lastNow
	}
	t := l.base.UnixNano() + int64(now.Sub(l.base))
	gap := max(t-l.lastNow, wall-l.lastWall)
	l.lastNow, l.lastWall = max(l.lastNow, t), wall
	if gap > int64(l.config.PauseThreshold) {
		l.handleClockPause(l.lastNow)
	}
	return l.lastNow
}

// stamp converts a time to the milliseconds that messages carry and peers echo.
func stamp(t int64) int64 { return t / int64(time.Millisecond) }

// SetPeers sets the live entry VMs of the zone, including leaving ones until they are gone; it must be called before
// SetEndpoints.
func (l *Pool) SetPeers(now time.Time, ids []string) {
	l.observeTime(now)
	for _, p := range l.peers {
		p.live = false
	}
	for _, id := range ids {
		if id != l.config.VM {
			l.peer(id).live = true
		}
	}
	l.peers = slices.DeleteFunc(l.peers, func(p *peer) bool {
		unused := !p.live && !p.mustAnswer && len(p.lent) == 0 && len(p.borrowed) == 0
		if unused {
			l.maxLentID = max(l.maxLentID, p.lastLentID)
			delete(l.byPeer, p.id)
		}
		return unused
	})
	l.countOwned()
	l.applyStaticPolicy()
}

// peer returns the state of a peer, creating it if needed.
func (l *Pool) peer(id string) *peer {
	if p := l.byPeer[id]; p != nil {
		return p
	}
	p := &peer{id: id, lastLentID: l.maxLentID}
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

// Receive handles a message from a peer and appends the messages to send to out.
func (l *Pool) Receive(now time.Time, from string, m PeerMessage, out []Envelope) []Envelope {
	t := l.observeTime(now)
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
		return append(out, Envelope{p.id, Resumed{Sent: m.Sent, Clear: l.tookOverNothing(p)}})
	case Resumed:
		l.receiveResumed(p, m)
	}
	return out
}

// Tick expires, renews, returns and recalls loans, and requests slots for wanted queued tasks that could start. It must
// be called every 10 ms.
func (l *Pool) Tick(now time.Time, wanted int, targets []Allocation, out []Envelope) []Envelope {
	t := l.observeTime(now)
	if l.config.Policy != Loans {
		return out
	}
	l.expire(t)
	out = l.sendResumes(t, out)
	out = l.sendHandovers(t, out)
	out = l.rebalance(t, wanted, targets, out)
	out = l.returnIdle(t, out)
	out = l.requestSlots(t, wanted, out)
	return l.sendRenewals(t, out)
}

// RequestLoans asks peers for slots for wanted queued tasks if TryAcquire would return none; Tick does the same.
func (l *Pool) RequestLoans(now time.Time, wanted int, out []Envelope) []Envelope {
	t := l.observeTime(now)
	if l.config.Policy != Loans {
		return out
	}
	return l.requestSlots(t, wanted, out)
}

// Drain starts the graceful shutdown: no more loans are given, and borrowed slots are returned as soon as they are
// idle.
func (l *Pool) Drain(now time.Time) {
	l.observeTime(now)
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
		c.Lent += len(p.lent)
		c.Borrowed += len(p.borrowed)
	}
	for _, n := range l.endpoints {
		c.Idle += min(n.idle()+len(n.loans), max(0, n.concurrencyLimit-n.inFlight))
		if !n.ownedHere {
			continue
		}
		c.Occupied += n.occupied()
		if n.blockedUntil != 0 {
			c.Waiting += n.slots
		}
	}
	return c
}
