package endpoint

import (
	"cmp"
	"slices"
	"time"

	"samphireplank.example/samphireplank/job"
)

// Observation is what the end of a task says about its endpoint.
type Observation uint8

// The verdicts.
const (
	// ObservedSuccess means that the endpoint did its work, also when it rejected the task.
	ObservedSuccess Observation = iota
	// ObservedError means that the endpoint answered with an error.
	ObservedError
	// ObservedNoResponse means that the task was sent and no valid answer came.
	ObservedNoResponse
	// ObservedUnreachable means that no byte reached the endpoint, which is never the fault of the work.
	ObservedUnreachable
)

// NoLimit is the ConcurrencyLimit of an endpoint without a bound by health.
const NoLimit = 1 << 30

// HealthConfig sets up a HealthTracker; zero values have the defaults of the design.
type HealthConfig struct {
	ConsecutiveFailures int           // consecutive failures of distinct jobs; default 3
	ConsecutiveTimeouts int           // consecutive unanswered tasks; default 5
	BaseEjectionTime    time.Duration // default 1 s
	MaxEjectionTime     time.Duration // default 30 s
	ProbeInterval       time.Duration // of endpoints that owe an answer; default 1 s
	IdleProbeInterval   time.Duration // an endpoint without a success for this long is probed; default 5 s
}

// The limits that the settings don't change.
const (
	ejectedShare   = 3                      // at most one in three endpoints is ejected
	judgeEvery     = 100 * time.Millisecond // shortest time between two judgements of one endpoint
	window         = 5 * time.Second        // failures are counted over the present and the last window
	orphanTrial    = 5 * time.Second        // a trial starts without a probe, or goes on with probes only, after this time
	forgiveAfter   = time.Minute            // after this time without ejection the next one is short again
	shareFor       = 2 * time.Second        // a trial or an answered probe is reported for this long
	probesToEject  = 3                      // consecutive failed probes
	mistakeBits    = 20                     // a run of failures by chance ejects less than once in 2^20 tasks
	longestRun     = 40                     // failures in a row that eject unless most endpoints fail
	sampleFraction = 8                      // share of the other endpoints whose failures make a sample of the work
)

// Member is an endpoint of the service in the own zone.
type Member struct {
	ID          string
	Incarnation uint64
	Owned       bool // this VM probes it
}

// HealthEvent is a step that follows from the state of health.
type HealthEvent interface{ action() }

// Eject tells that an endpoint gets no more tasks.
type Eject struct{ Endpoint string }

// LimitChanged tells that an endpoint may have up to Limit tasks of this VM at once.
type LimitChanged struct {
	Endpoint string
	Limit    int
}

// ProbeDue asks for a probe, whose result goes to RecordProbe.
type ProbeDue struct{ Endpoint string }

// ProbeAnswered tells that an endpoint answers again, so that its withheld slots may be used.
type ProbeAnswered struct{ Endpoint string }

func (Eject) action()         {}
func (LimitChanged) action()  {}
func (ProbeDue) action()      {}
func (ProbeAnswered) action() {}

// phase is the state of an endpoint.
type phase uint8

const (
	usable phase = iota
	ejected
	trial
)

// state is the health of one endpoint.
type state struct {
	id          string
	incarnation uint64
	owned       bool
	listed      bool
	phase       phase
	changed     time.Time // beginning of the phase
	until       time.Time // end of the ejection
	level       int       // ejections in a row
	passed      int       // trial tasks that succeeded
	told        int       // ConcurrencyLimit in the last action

	failed     []job.ID // distinct jobs that failed in a row
	unreached  int      // tasks in a row that couldn't be sent
	silent     int      // unanswered tasks in a row
	silentJobs []job.ID // up to two distinct jobs among them
	nextJudged time.Time

	good, bad         int // tasks in the present window
	lastGood, lastBad int // tasks in the window before
	windowEnd         time.Time

	owes         bool // a task got no answer since the last answered probe
	probeFails   int
	nextProbe    time.Time
	goodAt       time.Time // last success
	silentAt     time.Time // last unanswered task
	answeredAt   time.Time // last answered probe
	restore      bool      // an action is due
	peerSilentAt time.Time // last time that a peer reported an unanswered task

	shared    ReportedPhase // in the last report
	shares    int           // reports since it changed
	nextShare time.Time
}

// HealthTracker judges the endpoints of one service from the results of their tasks; it isn't safe for concurrent use.
type HealthTracker struct {
	config HealthConfig
	states []*state // sorted by id
	byID   map[string]*state
}

// NewHealthTracker returns a HealthTracker without endpoints.
func NewHealthTracker(config HealthConfig) *HealthTracker {
	config.ConsecutiveFailures = cmp.Or(config.ConsecutiveFailures, 3)
	config.ConsecutiveTimeouts = cmp.Or(config.ConsecutiveTimeouts, 5)
	config.BaseEjectionTime = cmp.Or(config.BaseEjectionTime, time.Second)
	config.MaxEjectionTime = cmp.Or(config.MaxEjectionTime, 30*time.Second)
	config.ProbeInterval = cmp.Or(config.ProbeInterval, time.Second)
	config.IdleProbeInterval = cmp.Or(config.IdleProbeInterval, 5*time.Second)
	return &HealthTracker{config: config, byID: map[string]*state{}}
}

// SetEndpoints gives all endpoints of the service in the zone; a new one or a new incarnation starts usable.
func (h *HealthTracker) SetEndpoints(now time.Time, members []Member) {
	for _, s := range h.states {
		s.listed = false
	}
	for _, m := range members {
		s := h.byID[m.ID]
		if s == nil {
			s = h.add(m.ID)
			*s = h.fresh(now, m, NoLimit)
		}
		if s.incarnation != m.Incarnation {
			restore := s.restore || s.owes
			*s = h.fresh(now, m, s.told)
			s.restore = restore
		}
		s.listed, s.owned = true, m.Owned
	}
	h.states = slices.DeleteFunc(h.states, func(s *state) bool {
		if !s.listed {
			delete(h.byID, s.id)
		}
		return !s.listed
	})
	h.keepShare(now)
}

func (h *HealthTracker) add(id string) *state {
	s := &state{id: id}
	at, _ := slices.BinarySearchFunc(h.states, id, func(s *state, id string) int { return cmp.Compare(s.id, id) })
	h.states = slices.Insert(h.states, at, s)
	h.byID[id] = s
	return s
}

func (h *HealthTracker) fresh(now time.Time, m Member, told int) state {
	return state{
		id: m.ID, incarnation: m.Incarnation, told: told, changed: now,
		windowEnd: now.Add(window),
	}
}

// ConcurrencyLimit returns how many tasks this VM may have on an endpoint at once.
func (h *HealthTracker) ConcurrencyLimit(endpoint string) int {
	if s := h.byID[endpoint]; s != nil {
		return s.usable()
	}
	return 0
}

func (s *state) usable() int {
	switch {
	case s.phase == usable:
		return NoLimit
	case s.phase == trial:
		return min(1+s.passed, 2)
	}
	return 0
}

// Record takes the end of a task and reports whether ConcurrencyLimit of its endpoint has changed.
func (h *HealthTracker) Record(now time.Time, endpoint string, id job.ID, verdict Observation) bool {
	s := h.byID[endpoint]
	if s == nil {
		return false
	}
	before := s.usable()
	s.count(now, verdict)
	if verdict == ObservedSuccess {
		s.succeed(now)
		return s.usable() != before
	}
	s.fail(now, id, verdict)
	switch s.phase {
	case trial:
		h.eject(now, s)
	case usable:
		h.judge(now, s)
	case ejected: // a task that was in flight
	}
	return s.usable() != before
}

// count adds a task to the window.
func (s *state) count(now time.Time, verdict Observation) {
	s.roll(now)
	if verdict == ObservedSuccess {
		s.good++
	} else {
		s.bad++
	}
}

// roll starts a new window when the present one is over.
func (s *state) roll(now time.Time) {
	if now.Before(s.windowEnd) {
		return
	}
	s.lastGood, s.lastBad = s.good, s.bad
	if !now.Before(s.windowEnd.Add(window)) {
		s.lastGood, s.lastBad = 0, 0
	}
	s.good, s.bad = 0, 0
	s.windowEnd = now.Add(window)
}

func (s *state) succeed(now time.Time) {
	s.clearRuns()
	s.goodAt = now
	if s.phase == trial {
		s.pass(now)
	}
}

// pass counts a success of a trial.
func (s *state) pass(now time.Time) {
	s.passed++
	// One task passes the first step of the trial and two the second one.
	if s.passed > 2 {
		s.enter(now, usable)
	}
}

func (s *state) fail(now time.Time, id job.ID, verdict Observation) {
	switch verdict {
	case ObservedNoResponse:
		s.silent++
		s.silentAt, s.owes = now, true
		if len(s.silentJobs) < 2 && !slices.Contains(s.silentJobs, id) {
			s.silentJobs = append(s.silentJobs, id)
		}
		return
	case ObservedUnreachable:
		s.unreached++
	default:
		if len(s.failed) < longestRun && !slices.Contains(s.failed, id) {
			s.failed = append(s.failed, id)
		}
	}
	s.silent, s.silentJobs = 0, s.silentJobs[:0]
}

// failures is the length of the run of failures that count one by one.
func (s *state) failures() int { return len(s.failed) + s.unreached }

func (s *state) clearRuns() {
	s.failed, s.silentJobs = s.failed[:0], s.silentJobs[:0]
	s.unreached, s.silent, s.probeFails = 0, 0, 0
}

func (s *state) enter(now time.Time, p phase) {
	s.phase, s.changed, s.passed, s.shares = p, now, 0, 0
	s.clearRuns()
}
