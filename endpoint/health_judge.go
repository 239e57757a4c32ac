package endpoint

import (
	"math"
	"slices"
	"time"
)

// judge ejects an endpoint whose run of failures is too long to come from the work.
func (h *HealthTracker) judge(now time.Time, s *state) {
	suspect := s.failures() >= h.config.ConsecutiveFailures || s.silent >= h.config.ConsecutiveTimeouts
	if !suspect || now.Before(s.nextJudged) || !h.mayEject() {
		return
	}
	s.nextJudged = now.Add(judgeEvery)
	rate, sampled := h.failureRate(now, s)
	if rate > 0.5 {
		return // the work is at fault
	}
	run := runToEject(rate)
	failing := s.failures() >= max(h.config.ConsecutiveFailures, run)
	// Unanswered tasks of a single job prove nothing unless other endpoints do work.
	silent := s.silent >= max(h.config.ConsecutiveTimeouts, run) && (sampled || len(s.silentJobs) > 1)
	if failing || silent {
		s.nextJudged = time.Time{}
		h.eject(now, s)
	}
}

// runToEject is the number of failures in a row that are unlikely at a rate of failures that all endpoints share. Three
// would eject healthy endpoints all the time as soon as one kind of work fails on each of them.
func runToEject(rate float64) int {
	if rate <= 0 {
		return 0
	}
	return min(longestRun, int(math.Ceil(mistakeBits/-math.Log2(rate))))
}

// failureRate is the mean share of failed tasks over the other endpoints, each with the same weight because an endpoint
// that fails fast gets more tasks than the others. Without results of enough of them it is 0.
func (h *HealthTracker) failureRate(now time.Time, suspect *state) (rate float64, sampled bool) {
	sum, count := 0.0, 0
	for _, s := range h.states {
		s.roll(now)
		good, bad := s.good+s.lastGood, s.bad+s.lastBad
		if s == suspect || s.phase != usable || good+bad == 0 {
			continue
		}
		sum += float64(bad) / float64(good+bad)
		count++
	}
	if count < max(2, len(h.states)/sampleFraction) {
		return 0, false
	}
	return sum / float64(count), true
}

// mayEject keeps two thirds of the endpoints in use, whatever their results; one on trial may be ejected at any time.
func (h *HealthTracker) mayEject() bool {
	return h.countPhases(ejected, trial) < len(h.states)/ejectedShare
}

func (h *HealthTracker) countPhases(phases ...phase) int {
	count := 0
	for _, s := range h.states {
		if slices.Contains(phases, s.phase) {
			count++
		}
	}
	return count
}

// keepShare starts the trial of the endpoints whose ejections end first when too many of fewer endpoints are ejected.
func (h *HealthTracker) keepShare(now time.Time) {
	for h.countPhases(ejected) > len(h.states)/ejectedShare {
		var first *state
		for _, s := range h.states {
			if s.phase == ejected && (first == nil || s.until.Before(first.until)) {
				first = s
			}
		}
		first.enter(now, trial)
	}
}

// eject starts an ejection, twice as long as the last one if that is recent.
func (h *HealthTracker) eject(now time.Time, s *state) {
	if s.phase == usable && now.Sub(s.changed) >= forgiveAfter {
		s.level = 0
	}
	s.level++
	s.enter(now, ejected)
	s.until = now.Add(h.length(s.level))
	s.nextProbe = s.until
}

// length is the duration of an ejection.
func (h *HealthTracker) length(level int) time.Duration {
	length := h.config.BaseEjectionTime
	for range level - 1 {
		if length >= h.config.MaxEjectionTime {
			break
		}
		length *= 2
	}
	return min(length, h.config.MaxEjectionTime)
}

// RecordProbe takes the result of a probe that this VM has sent.
func (h *HealthTracker) RecordProbe(now time.Time, endpoint string, healthy bool) {
	s := h.byID[endpoint]
	if s == nil {
		return
	}
	if healthy {
		s.answer(now)
		return
	}
	s.nextProbe = now.Add(h.config.ProbeInterval)
	switch s.phase {
	case ejected, trial:
		h.eject(now, s)
	case usable:
		s.probeFails++
		if s.probeFails >= probesToEject && h.mayEject() {
			h.eject(now, s)
		}
	}
}

// answer notes that the endpoint answers probes.
func (s *state) answer(now time.Time) {
	s.answeredAt, s.probeFails = now, 0
	s.owes, s.restore = false, s.restore || s.owes
	switch {
	case s.phase == ejected && !now.Before(s.until):
		s.enter(now, trial)
	case s.idleTrial(now):
		s.pass(now)
	}
}

// idleTrial reports whether a trial has lasted so long that this VM seems to have no tasks for it. Probes then take their
// place, since the trial of an idle owner would hold back the loans of all others.
func (s *state) idleTrial(now time.Time) bool {
	return s.phase == trial && now.Sub(s.changed) >= orphanTrial
}

// Tick returns the actions that are due; it runs every 10 ms.
func (h *HealthTracker) Tick(now time.Time, out []HealthEvent) []HealthEvent {
	for _, s := range h.states {
		if s.phase == usable && s.failures()+s.silent > 0 {
			h.judge(now, s)
		}
		if s.phase == ejected && now.Sub(s.until) >= orphanTrial {
			s.enter(now, trial)
		}
		if s.restore {
			s.restore = false
			out = append(out, ProbeAnswered{Endpoint: s.id})
		}
		out = s.tell(out)
		if s.owned && h.probeDue(now, s) {
			s.nextProbe = now.Add(h.config.ProbeInterval)
			out = append(out, ProbeDue{Endpoint: s.id})
		}
	}
	return out
}

// tell appends the change of ConcurrencyLimit since the last action.
func (s *state) tell(out []HealthEvent) []HealthEvent {
	now := s.usable()
	if now == s.told {
		return out
	}
	s.told = now
	if now == 0 {
		return append(out, Eject{Endpoint: s.id})
	}
	return append(out, LimitChanged{Endpoint: s.id, Limit: now})
}

// probeDue reports whether an endpoint needs a probe: at the end of an ejection, while it owes an answer here or to a
// peer, in a trial without tasks, and after some time without success.
func (h *HealthTracker) probeDue(now time.Time, s *state) bool {
	if now.Before(s.nextProbe) {
		return false
	}
	if s.phase == ejected {
		return !now.Before(s.until)
	}
	if s.owes || s.probeFails > 0 || s.idleTrial(now) || s.peerSilentAt.After(s.answeredAt) {
		return true
	}
	since := s.changed
	if s.answeredAt.After(since) {
		since = s.answeredAt
	}
	if s.goodAt.After(since) {
		since = s.goodAt
	}
	return now.Sub(since) >= h.config.IdleProbeInterval
}
