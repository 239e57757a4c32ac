package endpoint

import (
	"cmp"
	"slices"
	"time"
)

// ReportedPhase is the state of an endpoint in the reports of entry VMs.
type ReportedPhase uint8

// The phases in reports.
const (
	// ReportedEjected means that the endpoint gets no tasks.
	ReportedEjected ReportedPhase = iota + 1
	// ReportedHalfOpen means that the endpoint has answered the probe at the end of its ejection.
	ReportedHalfOpen
	// ReportedProbePending means that the sender, which isn't the owner, waits for an answered probe.
	ReportedProbePending
	// ReportedProbeOK means that the endpoint has answered a probe of the sender, its owner.
	ReportedProbeOK
)

// HealthReport reports the state of an endpoint. It has durations instead of times, since the clocks of VMs differ.
type HealthReport struct {
	Endpoint    string
	Incarnation uint64
	Phase       ReportedPhase
	Level       int           // consecutive ejections
	Age         time.Duration // of the phase
	Remaining   time.Duration // until the ejection ends
}

// Limits of reports, which keep them within the byte budget when a whole rack of endpoints fails.
const (
	maxReportEntries = 4                // endpoints in one report, the least reported first
	reportRepeats    = 3                // reports that include a change at once
	reportInterval   = 10 * time.Second // between later repetitions
)

// TakeReports returns the reports that are due for all peers; call it once per round of reports.
func (h *HealthTracker) TakeReports(now time.Time) []HealthReport {
	var due []*endpointState
	for _, s := range h.states {
		if s.reportDue(now) {
			due = append(due, s)
		}
	}
	slices.SortStableFunc(due, func(a, b *endpointState) int { return cmp.Compare(a.reportCount, b.reportCount) })
	var out []HealthReport
	for _, s := range due[:min(len(due), maxReportEntries)] {
		e, _ := s.report(now)
		s.reportCount = min(s.reportCount+1, reportRepeats)
		s.nextReport = now.Add(reportInterval)
		out = append(out, e)
	}
	return out
}

// reportDue reports whether an endpoint has a report that is new or due for repetition.
func (s *endpointState) reportDue(now time.Time) bool {
	e, ok := s.report(now)
	if ok && e.Phase != s.reportedPhase {
		s.reportedPhase, s.reportCount = e.Phase, 0
	}
	return ok && (s.reportCount < reportRepeats || !now.Before(s.nextReport))
}

// report returns the report of an endpoint, or false if there is nothing to report. An ejection takes precedence,
// because the probe at its end also releases withheld slots.
func (s *endpointState) report(now time.Time) (HealthReport, bool) {
	e := HealthReport{Endpoint: s.id, Incarnation: s.incarnation, Level: s.ejectionCount, Age: now.Sub(s.phaseSince)}
	answered := s.owned && now.Sub(s.peerUnansweredAt) < reportTTL && now.Sub(s.lastProbeOK) < reportTTL
	switch {
	case s.phase == phaseEjected:
		e.Phase, e.Remaining = ReportedEjected, max(0, s.ejectedUntil.Sub(now))
	case s.phase == phaseHalfOpen && e.Age < reportTTL:
		e.Phase = ReportedHalfOpen
	case s.awaitingProbe && !s.owned:
		e.Phase, e.Age = ReportedProbePending, now.Sub(s.lastUnanswered)
	case answered:
		e.Phase, e.Age = ReportedProbeOK, now.Sub(s.lastProbeOK)
	default:
		return e, false
	}
	return e, true
}

// MergeReports applies the reports of a peer; reports on unknown endpoints or other incarnations are ignored.
func (h *HealthTracker) MergeReports(now time.Time, ejections []HealthReport) {
	for _, e := range ejections {
		s := h.byID[e.Endpoint]
		if s == nil || s.incarnation != e.Incarnation {
			continue
		}
		began := now.Add(-e.Age)
		switch e.Phase {
		case ReportedEjected:
			h.mergeEjection(now, s, e, began)
		case ReportedHalfOpen:
			if s.phase == phaseEjected && !now.Before(s.ejectedUntil) && began.After(s.phaseSince) {
				s.setPhase(now, phaseHalfOpen)
			}
			s.mergeProbeOK(began)
		case ReportedProbePending:
			s.peerUnansweredAt = now
		case ReportedProbeOK:
			s.mergeProbeOK(began)
		}
	}
}

// mergeProbeOK ends the wait for an answered probe if a probe was answered after the last unanswered task.
func (s *endpointState) mergeProbeOK(at time.Time) {
	if s.awaitingProbe && at.After(s.lastUnanswered) {
		s.awaitingProbe, s.probeAnsweredDue = false, true
	}
}

// mergeEjection applies an ejection by a peer, unless this VM has seen a phase change or a success of the endpoint
// since the ejection began.
func (h *HealthTracker) mergeEjection(now time.Time, s *endpointState, e HealthReport, began time.Time) {
	newer := began.After(s.phaseSince) && began.After(s.lastSuccess)
	if s.phase == phaseEjected || e.Remaining <= 0 || !newer || !h.mayEject() {
		return
	}
	s.setPhase(now, phaseEjected)
	s.phaseSince = began
	s.ejectionCount = max(1, e.Level)
	s.ejectedUntil = now.Add(min(e.Remaining, h.config.MaxEjectionTime))
	s.nextProbe = s.ejectedUntil
}
