package placement

import "sort"

// The entry VM of a submission may send the start orders of its job itself. The holder still decides where tasks run,
// but the spec, which is most of each start order, does not pass over the holder's link. When such a start is
// unanswered, the holder sends the starts itself if it has received the spec.

// addSubmission records another submission of the job.
func (js *jobState) addSubmission(m Submit) {
	switch {
	case !js.specMissing:
	case m.DelegatedStarts:
		js.sender = m.Key
	default:
		js.work.Spec, js.specMissing, js.sender = m.Work.Spec, false, SubmissionKey{}
	}
}

// replaceSender replaces a sender that is gone by another submission of the job, if there is one.
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

// canStart reports whether some VM can send start orders of the job.
func (js *jobState) canStart() bool { return !js.specMissing || js.sender != SubmissionKey{} }

// handleSenderDisconnected stops the unconfirmed starts that a disconnected VM was to send.
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

// sortedRuns returns the runs that may still be running, sorted by task.
func (s *Scheduler) sortedRuns() []*run {
	runs := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].taskName < runs[j].taskName })
	return runs
}

// updateSpec handles a delegated start that is unanswered or was not sent: it takes over the spec if the VM has sent
// it.
func (js *jobState) updateSpec(m StartResult, by SubmissionKey) {
	switch {
	case !js.specMissing || by == SubmissionKey{}:
	case m.SpecKnown:
		js.work.Spec, js.specMissing, js.sender = m.Spec, false, SubmissionKey{}
	default:
		js.replaceSender(by)
	}
}
