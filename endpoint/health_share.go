package endpoint

import "time"

// Phase is the part of an endpoint's health that entry VMs share.
type Phase uint8

// The phases in reports.
const (
	// Ejected means that the endpoint gets no tasks.
	Ejected Phase = iota
	// OnTrial means that a probe has ended the ejection.
	OnTrial
	// Unanswered means that the sender waits for an answered probe.
	Unanswered
	// Answered means that the endpoint has answered a probe of the sender, its owner.
	Answered
)

// Ejection is a report about an endpoint; durations avoid a comparison of clocks.
type Ejection struct {
	Endpoint    string
	Incarnation uint64
	Phase       Phase
	Level       int           // ejections in a row
	Age         time.Duration // since the phase began
	Left        time.Duration // until the ejection ends
}

// Report returns what peers should know, at most two entries for each endpoint that isn't simply usable.
func (h *Health) Report(now time.Time) []Ejection {
	var out []Ejection
	for _, s := range h.states {
		e := Ejection{Endpoint: s.id, Incarnation: s.incarnation, Level: s.level, Age: now.Sub(s.changed)}
		switch {
		case s.phase == ejected:
			e.Left = max(0, s.until.Sub(now))
			out = append(out, e)
		case s.phase == trial && e.Age < shareFor:
			e.Phase = OnTrial
			out = append(out, e)
		}
		out = s.reportAnswers(now, e, out)
	}
	return out
}

// reportAnswers adds whether probes are needed or answered.
func (s *state) reportAnswers(now time.Time, e Ejection, out []Ejection) []Ejection {
	e.Left = 0
	switch {
	case s.owes && !s.owned:
		e.Phase, e.Age = Unanswered, now.Sub(s.silentAt)
	case s.owned && s.peerSilentAt.Add(shareFor).After(now) && now.Sub(s.answeredAt) < shareFor:
		e.Phase, e.Age = Answered, now.Sub(s.answeredAt)
	default:
		return out
	}
	return append(out, e)
}

// Learn takes over the report of a peer.
func (h *Health) Learn(now time.Time, ejections []Ejection) {
	for _, e := range ejections {
		s := h.byID[e.Endpoint]
		if s == nil || s.incarnation != e.Incarnation {
			continue
		}
		began := now.Add(-e.Age)
		switch e.Phase {
		case Ejected:
			h.learnEjected(now, s, e, began)
		case OnTrial:
			if s.phase == ejected && !now.Before(s.until) && began.After(s.changed) {
				s.enter(now, trial)
			}
		case Unanswered:
			s.peerSilentAt = now
		case Answered:
			if s.owes && began.After(s.silentAt) {
				s.owes, s.restore = false, true
			}
		}
	}
}

// learnEjected follows an ejection that is newer than what this VM knows of the endpoint; an own success since then
// outweighs it.
func (h *Health) learnEjected(now time.Time, s *state, e Ejection, began time.Time) {
	newer := began.After(s.changed) && began.After(s.goodAt)
	if s.phase == ejected || e.Left <= 0 || !newer || !h.mayEject() {
		return
	}
	s.enter(now, ejected)
	s.changed = began
	s.level = max(1, e.Level)
	s.until = now.Add(min(e.Left, h.config.LongestEjection))
	s.nextProbe = s.until
}
