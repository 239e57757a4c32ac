package endpoint

import (
	"cmp"
	"slices"
	"time"
)

// ReportedPhase is the part of an endpoint's health that entry VMs share.
type ReportedPhase uint8

// The phases in reports.
const (
	// ReportedEjected means that the endpoint gets no tasks.
	ReportedEjected ReportedPhase = iota + 1
	// ReportedHalfOpen means that the endpoint has answered the probe at the end of its ejection.
	ReportedHalfOpen
	// ReportedProbePending means that the sender waits for an answered probe.
	ReportedProbePending
	// ReportedProbeOK means that the endpoint has answered a probe of the sender, its owner.
	ReportedProbeOK
)

// HealthReport is a report about an endpoint; durations avoid a comparison of clocks.
type HealthReport struct {
	Endpoint    string
	Incarnation uint64
	Phase       ReportedPhase
	Level       int           // ejections in a row
	Age         time.Duration // since the phase began
	Remaining   time.Duration // until the ejection ends
}

// The limits of reports, which keep a rack of failing endpoints within the byte budget.
const (
	shareLimit  = 4                // entries in one report, those that were reported least first
	shareRepeat = 3                // reports that carry a change
	shareEvery  = 10 * time.Second // after that it is repeated this often
)

// TakeReports returns what all peers should know; it is due once per round of reports.
func (h *HealthTracker) TakeReports(now time.Time) []HealthReport {
	var due []*state
	for _, s := range h.states {
		if s.shareDue(now) {
			due = append(due, s)
		}
	}
	slices.SortStableFunc(due, func(a, b *state) int { return cmp.Compare(a.shares, b.shares) })
	var out []HealthReport
	for _, s := range due[:min(len(due), shareLimit)] {
		e, _ := s.report(now)
		s.shares = min(s.shares+1, shareRepeat)
		s.nextShare = now.Add(shareEvery)
		out = append(out, e)
	}
	return out
}

// shareDue reports whether an endpoint has an entry that is new or due again.
func (s *state) shareDue(now time.Time) bool {
	e, ok := s.report(now)
	if ok && e.Phase != s.shared {
		s.shared, s.shares = e.Phase, 0
	}
	return ok && (s.shares < shareRepeat || !now.Before(s.nextShare))
}

// report is the entry of one endpoint, which has none while it is simply usable. An ejection outweighs the rest, because
// its probe answers for withheld slots as well.
func (s *state) report(now time.Time) (HealthReport, bool) {
	e := HealthReport{Endpoint: s.id, Incarnation: s.incarnation, Level: s.level, Age: now.Sub(s.changed)}
	answered := s.owned && now.Sub(s.peerSilentAt) < shareFor && now.Sub(s.answeredAt) < shareFor
	switch {
	case s.phase == ejected:
		e.Phase, e.Remaining = ReportedEjected, max(0, s.until.Sub(now))
	case s.phase == trial && e.Age < shareFor:
		e.Phase = ReportedHalfOpen
	case s.owes && !s.owned:
		e.Phase, e.Age = ReportedProbePending, now.Sub(s.silentAt)
	case answered:
		e.Phase, e.Age = ReportedProbeOK, now.Sub(s.answeredAt)
	default:
		return e, false
	}
	return e, true
}

// MergeReports takes over the report of a peer.
func (h *HealthTracker) MergeReports(now time.Time, ejections []HealthReport) {
	for _, e := range ejections {
		s := h.byID[e.Endpoint]
		if s == nil || s.incarnation != e.Incarnation {
			continue
		}
		began := now.Add(-e.Age)
		switch e.Phase {
		case ReportedEjected:
			h.learnEjected(now, s, e, began)
		case ReportedHalfOpen:
			if s.phase == ejected && !now.Before(s.until) && began.After(s.changed) {
				s.enter(now, trial)
			}
			s.learnAnswer(began)
		case ReportedProbePending:
			s.peerSilentAt = now
		case ReportedProbeOK:
			s.learnAnswer(began)
		}
	}
}

// learnAnswer ends the wait for an answered probe.
func (s *state) learnAnswer(at time.Time) {
	if s.owes && at.After(s.silentAt) {
		s.owes, s.restore = false, true
	}
}

// learnEjected follows an ejection that is newer than what this VM knows of the endpoint; an own success since then
// outweighs it.
func (h *HealthTracker) learnEjected(now time.Time, s *state, e HealthReport, began time.Time) {
	newer := began.After(s.changed) && began.After(s.goodAt)
	if s.phase == ejected || e.Remaining <= 0 || !newer || !h.mayEject() {
		return
	}
	s.enter(now, ejected)
	s.changed = began
	s.level = max(1, e.Level)
	s.until = now.Add(min(e.Remaining, h.config.MaxEjectionTime))
	s.nextProbe = s.until
}
