package endpoint

import (
	"cmp"
	"slices"
	"time"

	"samphireplank.example/samphireplank/job"
)

// Observation classifies the end of a task as evidence of the health of its endpoint.
type Observation uint8

// The observations.
const (
	// ObservedSuccess means that the endpoint works, also if it rejected the task.
	ObservedSuccess Observation = iota
	// ObservedError means that the endpoint answered with an error.
	ObservedError
	// ObservedNoResponse means that the task was sent and no valid answer arrived.
	ObservedNoResponse
	// ObservedUnreachable means that no byte reached the endpoint, which the work can't cause.
	ObservedUnreachable
)

// NoLimit is the ConcurrencyLimit of a healthy endpoint.
const NoLimit = 1 << 30

// HealthConfig holds the settings of a HealthTracker; zero values select the defaults.
type HealthConfig struct {
	ConsecutiveFailures int           // consecutive failures of distinct jobs; default 3
	ConsecutiveTimeouts int           // consecutive unanswered tasks; default 5
	BaseEjectionTime    time.Duration // default 1 s
	MaxEjectionTime     time.Duration // default 30 s
	ProbeInterval       time.Duration // while a probe must succeed or has failed; default 1 s
	IdleProbeInterval   time.Duration // time without a success after which an endpoint is probed; default 5 s
}

// Limits that are not configurable.
const (
	maxEjectedDivisor     = 3                      // at most one in three endpoints is ejected
	minEvaluationInterval = 100 * time.Millisecond // between two checks of one endpoint's failures
	failureWindow         = 5 * time.Second        // failure rates cover the current and the previous window
	idleTrialTimeout      = 5 * time.Second        // then a trial starts without a probe or counts probes as tasks
	ejectionResetAfter    = time.Minute            // a healthy time after which the next ejection has the base duration
	reportTTL             = 2 * time.Second        // a half-open phase or an answered probe is reported for this long
	maxProbeFailures      = 3                      // consecutive failed probes that eject
	falsePositiveBits     = 20                     // a random run of failures ejects less than once in 2^20 tasks
	maxFailureRun         = 40                     // failures in a row that eject unless most tasks fail elsewhere
	minSampleDivisor      = 8                      // a sample needs one in 8 endpoints, and at least 2
)

// Member is an endpoint of the service in the own zone.
type Member struct {
	ID          string
	Incarnation uint64
	Owned       bool // this VM owns the endpoint and probes it
}

// HealthEvent is an action that a HealthTracker requests.
type HealthEvent interface{ action() }

// Eject reports that an endpoint gets no more tasks.
type Eject struct{ Endpoint string }

// LimitChanged reports that this VM may run up to Limit tasks on an endpoint at once.
type LimitChanged struct {
	Endpoint string
	Limit    int
}

// ProbeDue requests a probe; pass its result to RecordProbe.
type ProbeDue struct{ Endpoint string }

// ProbeAnswered reports that an endpoint answers again, so that its withheld slots may be used.
type ProbeAnswered struct{ Endpoint string }

func (Eject) action()         {}
func (LimitChanged) action()  {}
func (ProbeDue) action()      {}
func (ProbeAnswered) action() {}

// phase is the state of an endpoint's circuit breaker.
type phase uint8

const (
	phaseHealthy phase = iota
	phaseEjected
	phaseHalfOpen
)

// endpointState is the health of one endpoint.
type endpointState struct {
	id             string
	incarnation    uint64
	owned          bool
	listed         bool
	phase          phase
	phaseSince     time.Time // start of the phase
	ejectedUntil   time.Time // end of the ejection
	ejectionCount  int       // consecutive ejections
	trialSuccesses int       // successful tasks since the endpoint became half-open
	reportedLimit  int       // ConcurrencyLimit in the last event

	failedJobs     []job.ID // distinct jobs in the current run of failures
	unreachableRun int      // tasks that couldn't be sent, in the current run
	unansweredRun  int      // consecutive unanswered tasks
	unansweredJobs []job.ID // up to two distinct jobs among them
	nextEvaluation time.Time

	good, bad         int // tasks in the current window
	lastGood, lastBad int // tasks in the previous window
	windowEnd         time.Time

	awaitingProbe    bool // a task got no answer, and no probe was answered since
	probeFailures    int
	nextProbe        time.Time
	lastSuccess      time.Time // last success
	lastUnanswered   time.Time // last unanswered task
	lastProbeOK      time.Time // last answered probe
	probeAnsweredDue bool      // the event ProbeAnswered is due
	peerUnansweredAt time.Time // when a peer last reported a pending probe

	reportedPhase ReportedPhase // in the last report
	reportCount   int           // reports since it changed
	nextReport    time.Time
}

// HealthTracker ejects and readmits the endpoints of one service by the results of their tasks and probes. It isn't
// safe for concurrent use.
type HealthTracker struct {
	config HealthConfig
	states []*endpointState // sorted by id
	byID   map[string]*endpointState
}

// NewHealthTracker returns a HealthTracker without endpoints.
func NewHealthTracker(config HealthConfig) *HealthTracker {
	config.ConsecutiveFailures = cmp.Or(config.ConsecutiveFailures, 3)
	config.ConsecutiveTimeouts = cmp.Or(config.ConsecutiveTimeouts, 5)
	config.BaseEjectionTime = cmp.Or(config.BaseEjectionTime, time.Second)
	config.MaxEjectionTime = cmp.Or(config.MaxEjectionTime, 30*time.Second)
	config.ProbeInterval = cmp.Or(config.ProbeInterval, time.Second)
	config.IdleProbeInterval = cmp.Or(config.IdleProbeInterval, 5*time.Second)
	return &HealthTracker{config: config, byID: map[string]*endpointState{}}
}

// SetEndpoints sets the endpoints of the service in the zone; a new endpoint or incarnation starts healthy.
func (h *HealthTracker) SetEndpoints(now time.Time, members []Member) {
	for _, s := range h.states {
		s.listed = false
	}
	for _, m := range members {
		s := h.byID[m.ID]
		if s == nil {
			s = h.add(m.ID)
			*s = h.newState(now, m, NoLimit)
		}
		if s.incarnation != m.Incarnation {
			restore := s.probeAnsweredDue || s.awaitingProbe
			*s = h.newState(now, m, s.reportedLimit)
			s.probeAnsweredDue = restore
		}
		s.listed, s.owned = true, m.Owned
	}
	h.states = slices.DeleteFunc(h.states, func(s *endpointState) bool {
		if !s.listed {
			delete(h.byID, s.id)
		}
		return !s.listed
	})
	h.enforceMaxEjected(now)
}

func (h *HealthTracker) add(id string) *endpointState {
	s := &endpointState{id: id}
	at, _ := slices.BinarySearchFunc(h.states, id, func(s *endpointState, id string) int { return cmp.Compare(s.id, id) })
	h.states = slices.Insert(h.states, at, s)
	h.byID[id] = s
	return s
}

func (h *HealthTracker) newState(now time.Time, m Member, told int) endpointState {
	return endpointState{
		id: m.ID, incarnation: m.Incarnation, reportedLimit: told, phaseSince: now,
		windowEnd: now.Add(failureWindow),
	}
}

// ConcurrencyLimit returns how many tasks this VM may run on an endpoint at once.
func (h *HealthTracker) ConcurrencyLimit(endpoint string) int {
	if s := h.byID[endpoint]; s != nil {
		return s.concurrencyLimit()
	}
	return 0
}

func (s *endpointState) concurrencyLimit() int {
	switch {
	case s.phase == phaseHealthy:
		return NoLimit
	case s.phase == phaseHalfOpen:
		return min(1+s.trialSuccesses, 2)
	}
	return 0
}

// Record processes the end of a task and reports whether ConcurrencyLimit of its endpoint has changed.
func (h *HealthTracker) Record(now time.Time, endpoint string, id job.ID, verdict Observation) bool {
	s := h.byID[endpoint]
	if s == nil {
		return false
	}
	before := s.concurrencyLimit()
	s.count(now, verdict)
	if verdict == ObservedSuccess {
		s.recordSuccess(now)
		return s.concurrencyLimit() != before
	}
	s.recordFailure(now, id, verdict)
	switch s.phase {
	case phaseHalfOpen:
		h.eject(now, s)
	case phaseHealthy:
		h.maybeEject(now, s)
	case phaseEjected: // a task that was in flight at the ejection
	}
	return s.concurrencyLimit() != before
}

// count adds a task to the window.
func (s *endpointState) count(now time.Time, verdict Observation) {
	s.rotateWindow(now)
	if verdict == ObservedSuccess {
		s.good++
	} else {
		s.bad++
	}
}

// rotateWindow starts a new window if the current one has ended.
func (s *endpointState) rotateWindow(now time.Time) {
	if now.Before(s.windowEnd) {
		return
	}
	s.lastGood, s.lastBad = s.good, s.bad
	if !now.Before(s.windowEnd.Add(failureWindow)) {
		s.lastGood, s.lastBad = 0, 0
	}
	s.good, s.bad = 0, 0
	s.windowEnd = now.Add(failureWindow)
}

func (s *endpointState) recordSuccess(now time.Time) {
	s.clearRuns()
	s.lastSuccess = now
	if s.phase == phaseHalfOpen {
		s.recordTrialSuccess(now)
	}
}

// recordTrialSuccess counts a success in the half-open phase; the third one makes the endpoint healthy.
func (s *endpointState) recordTrialSuccess(now time.Time) {
	s.trialSuccesses++
	// The first success raises the limit from one task to two, and two more end the phase.
	if s.trialSuccesses > 2 {
		s.setPhase(now, phaseHealthy)
	}
}

func (s *endpointState) recordFailure(now time.Time, id job.ID, verdict Observation) {
	switch verdict {
	case ObservedNoResponse:
		s.unansweredRun++
		s.lastUnanswered, s.awaitingProbe = now, true
		if len(s.unansweredJobs) < 2 && !slices.Contains(s.unansweredJobs, id) {
			s.unansweredJobs = append(s.unansweredJobs, id)
		}
		return
	case ObservedUnreachable:
		s.unreachableRun++
	default:
		if len(s.failedJobs) < maxFailureRun && !slices.Contains(s.failedJobs, id) {
			s.failedJobs = append(s.failedJobs, id)
		}
	}
	s.unansweredRun, s.unansweredJobs = 0, s.unansweredJobs[:0]
}

// consecutiveFailures returns the length of the current run of failures without unanswered tasks.
func (s *endpointState) consecutiveFailures() int { return len(s.failedJobs) + s.unreachableRun }

func (s *endpointState) clearRuns() {
	s.failedJobs, s.unansweredJobs = s.failedJobs[:0], s.unansweredJobs[:0]
	s.unreachableRun, s.unansweredRun, s.probeFailures = 0, 0, 0
}

func (s *endpointState) setPhase(now time.Time, p phase) {
	s.phase, s.phaseSince, s.trialSuccesses, s.reportCount = p, now, 0, 0
	s.clearRuns()
}
