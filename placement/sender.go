package placement

import "sort"

// The VM of a submission may send the starts of its job itself: its holder decides, and the spec, the bulk of each start,
// does not pass the holder's link. When a start of that VM is open, the holder goes on by itself.

// addSubmission takes note of another submission of the job.
func (js *jobState) addSubmission(m Submit) {
	switch {
	case !js.specMissing:
	case m.DelegatedStarts:
		js.sender = m.Key
	default:
		js.work.Spec, js.specMissing, js.sender = m.Work.Spec, false, SubmissionKey{}
	}
}

// replaceSender forgets the sender of a submission that is gone; another submission of the job takes its place.
func (js *jobState) replaceSender(key SubmissionKey) {
	if js.sender != key {
		return
	}
	js.sender = SubmissionKey{}
	others := make([]SubmissionKey, 0, len(js.keys))
	for k := range js.keys {
		if k.Conn != key.Conn {
			others = append(others, k)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].less(others[j]) })
	if len(others) > 0 {
		js.sender = others[0]
	}
}

func (k SubmissionKey) less(o SubmissionKey) bool {
	return k.Conn < o.Conn || k.Conn == o.Conn && k.Sequence < o.Sequence
}

// canStart says whether somebody can send starts of the job.
func (js *jobState) canStart() bool { return !js.specMissing || js.sender != SubmissionKey{} }

// handleSenderDisconnected stops the starts that a lost VM was to send and that may be under way.
func (s *Scheduler) handleSenderDisconnected(conn uint64) {
	for _, r := range s.sortedRuns() {
		if r.sender.Conn == conn && conn != 0 && r.confirmed.IsZero() {
			s.stopRun(r)
		}
	}
	for _, js := range s.jobs {
		if js.sender.Conn == conn && js.specMissing {
			js.replaceSender(js.sender)
		}
	}
}

// sortedRuns returns the runs that may be alive, in the order of their tasks.
func (s *Scheduler) sortedRuns() []*run {
	runs := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].taskName < runs[j].taskName })
	return runs
}

// updateSpec learns from the answer to a start that its VM was to send and that is open or unsent.
func (js *jobState) updateSpec(m StartResult, by SubmissionKey) {
	switch {
	case !js.specMissing || by == SubmissionKey{}:
	case m.SpecKnown:
		js.work.Spec, js.specMissing, js.sender = m.Spec, false, SubmissionKey{}
	default:
		js.replaceSender(by)
	}
}
