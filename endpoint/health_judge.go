package endpoint

import (
	"math"
	"slices"
	"time"
)

// maybeEject ejects an endpoint whose run of failures is too long to be caused by the work.
func (h *HealthTracker) maybeEject(now time.Time, s *endpointState) {
	suspect := s.consecutiveFailures() >= h.config.ConsecutiveFailures || s.unansweredRun >= h.config.ConsecutiveTimeouts
	if !suspect || now.Before(s.nextEvaluation) || !h.mayEject() {
		return
	}
	s.nextEvaluation = now.Add(minEvaluationInterval)
	rate, sampled := h.failureRate(now, s)
	if rate > 0.5 {
		return // most tasks fail elsewhere too, so the work is the cause
	}
	run := runToEject(rate)
	failing := s.consecutiveFailures() >= max(h.config.ConsecutiveFailures, run)
	// Unanswered tasks of a single job may be caused by the job, unless other endpoints return results.
	silent := s.unansweredRun >= max(h.config.ConsecutiveTimeouts, run) && (sampled || len(s.unansweredJobs) > 1)
	if failing || silent {
		s.nextEvaluation = time.Time{}
		h.eject(now, s)
	}
}

// runToEject returns how many consecutive failures are improbable at a failure rate that all endpoints share. A fixed
// limit of three would constantly eject healthy endpoints when one kind of work fails on each of them.
func runToEject(rate float64) int {
	if rate <= 0 {
		return 0
	}
	return min(maxFailureRun, int(math.Ceil(falsePositiveBits/-math.Log2(rate))))
}

// failureRate returns the mean failure rate of the other healthy endpoints. Each has the same weight, because an
// endpoint that fails fast gets more tasks than the others. Without results of enough endpoints it returns 0 and false.
func (h *HealthTracker) failureRate(now time.Time, suspect *endpointState) (rate float64, sampled bool) {
	sum, count := 0.0, 0
	for _, s := range h.states {
		s.rotateWindow(now)
		good, bad := s.good+s.lastGood, s.bad+s.lastBad
		if s == suspect || s.phase != phaseHealthy || good+bad == 0 {
			continue
		}
		sum += float64(bad) / float64(good+bad)
		count++
	}
	if count < max(2, len(h.states)/minSampleDivisor) {
		return 0, false
	}
	return sum / float64(count), true
}

// mayEject reports whether another healthy endpoint may be ejected, so that two thirds of the endpoints stay
// healthy. It doesn't limit the ejection of half-open endpoints.
func (h *HealthTracker) mayEject() bool {
	return h.countPhases(phaseEjected, phaseHalfOpen) < len(h.states)/maxEjectedDivisor
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

// enforceMaxEjected makes the endpoints whose ejections end first half-open while more than a third is ejected, which
// happens when endpoints leave.
func (h *HealthTracker) enforceMaxEjected(now time.Time) {
	for h.countPhases(phaseEjected) > len(h.states)/maxEjectedDivisor {
		var first *endpointState
		for _, s := range h.states {
			if s.phase == phaseEjected && (first == nil || s.ejectedUntil.Before(first.ejectedUntil)) {
				first = s
			}
		}
		first.setPhase(now, phaseHalfOpen)
	}
}

// eject starts an ejection, twice as long as the previous one if that is recent.
func (h *HealthTracker) eject(now time.Time, s *endpointState) {
	if s.phase == phaseHealthy && now.Sub(s.phaseSince) >= ejectionResetAfter {
		s.ejectionCount = 0
	}
	s.ejectionCount++
	s.setPhase(now, phaseEjected)
	s.ejectedUntil = now.Add(h.ejectionTime(s.ejectionCount))
	s.nextProbe = s.ejectedUntil
}

// ejectionTime returns the duration of the given consecutive ejection.
func (h *HealthTracker) ejectionTime(level int) time.Duration {
	length := h.config.BaseEjectionTime
	for range level - 1 {
		if length >= h.config.MaxEjectionTime {
			break
		}
		length *= 2
	}
	return min(length, h.config.MaxEjectionTime)
}

// RecordProbe processes the result of a probe that this VM has sent.
func (h *HealthTracker) RecordProbe(now time.Time, endpoint string, healthy bool) {
	s := h.byID[endpoint]
	if s == nil {
		return
	}
	if healthy {
		s.recordProbeOK(now)
		return
	}
	s.nextProbe = now.Add(h.config.ProbeInterval)
	switch s.phase {
	case phaseEjected, phaseHalfOpen:
		h.eject(now, s)
	case phaseHealthy:
		s.probeFailures++
		if s.probeFailures >= maxProbeFailures && h.mayEject() {
			h.eject(now, s)
		}
	}
}

// recordProbeOK processes an answered probe.
func (s *endpointState) recordProbeOK(now time.Time) {
	s.lastProbeOK, s.probeFailures = now, 0
	s.awaitingProbe, s.probeAnsweredDue = false, s.probeAnsweredDue || s.awaitingProbe
	switch {
	case s.phase == phaseEjected && !now.Before(s.ejectedUntil):
		s.setPhase(now, phaseHalfOpen)
	case s.idleTrial(now):
		s.recordTrialSuccess(now)
	}
}

// idleTrial reports whether an endpoint has been half-open for so long that this VM seems to have no tasks for it.
// Probes then count as tasks, since a half-open endpoint of an idle owner would block the loans to all others.
func (s *endpointState) idleTrial(now time.Time) bool {
	return s.phase == phaseHalfOpen && now.Sub(s.phaseSince) >= idleTrialTimeout
}

// Tick appends the events that are due to out; call it every 10 ms.
func (h *HealthTracker) Tick(now time.Time, out []HealthEvent) []HealthEvent {
	for _, s := range h.states {
		if s.phase == phaseHealthy && s.consecutiveFailures()+s.unansweredRun > 0 {
			h.maybeEject(now, s)
		}
		if s.phase == phaseEjected && now.Sub(s.ejectedUntil) >= idleTrialTimeout {
			s.setPhase(now, phaseHalfOpen)
		}
		if s.probeAnsweredDue {
			s.probeAnsweredDue = false
			out = append(out, ProbeAnswered{Endpoint: s.id})
		}
		out = s.appendLimitChange(out)
		if s.owned && h.probeDue(now, s) {
			s.nextProbe = now.Add(h.config.ProbeInterval)
			out = append(out, ProbeDue{Endpoint: s.id})
		}
	}
	return out
}

// appendLimitChange appends an event if ConcurrencyLimit has changed since the last one.
func (s *endpointState) appendLimitChange(out []HealthEvent) []HealthEvent {
	now := s.concurrencyLimit()
	if now == s.reportedLimit {
		return out
	}
	s.reportedLimit = now
	if now == 0 {
		return append(out, Eject{Endpoint: s.id})
	}
	return append(out, LimitChanged{Endpoint: s.id, Limit: now})
}

// probeDue reports whether an endpoint needs a probe: after an ejection, while this VM or a peer waits for an answered
// probe, after a failed probe, when it is half-open without tasks, and after IdleProbeInterval without a success.
func (h *HealthTracker) probeDue(now time.Time, s *endpointState) bool {
	if now.Before(s.nextProbe) {
		return false
	}
	if s.phase == phaseEjected {
		return !now.Before(s.ejectedUntil)
	}
	if s.awaitingProbe || s.probeFailures > 0 || s.idleTrial(now) || s.peerUnansweredAt.After(s.lastProbeOK) {
		return true
	}
	since := s.phaseSince
	if s.lastProbeOK.After(since) {
		since = s.lastProbeOK
	}
	if s.lastSuccess.After(since) {
		since = s.lastSuccess
	}
	return now.Sub(since) >= h.config.IdleProbeInterval
}
