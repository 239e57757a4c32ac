package placement

import "sort"

// The VM of a submission may send the starts of its job itself: its holder decides, and the spec, the bulk of each start,
// does not pass the holder's link. When a start of that VM is open, the holder goes on by itself.

// joined takes note of another submission of the job.
func (b *batch) joined(m Submit) {
	switch {
	case !b.specless:
	case m.DelegatedStarts:
		b.sender = m.Key
	default:
		b.work.Spec, b.specless, b.sender = m.Work.Spec, false, SubmissionKey{}
	}
}

// lose forgets the sender of a submission that is gone; another submission of the job takes its place.
func (b *batch) lose(key SubmissionKey) {
	if b.sender != key {
		return
	}
	b.sender = SubmissionKey{}
	others := make([]SubmissionKey, 0, len(b.keys))
	for k := range b.keys {
		if k.Conn != key.Conn {
			others = append(others, k)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].less(others[j]) })
	if len(others) > 0 {
		b.sender = others[0]
	}
}

func (k SubmissionKey) less(o SubmissionKey) bool {
	return k.Conn < o.Conn || k.Conn == o.Conn && k.Sequence < o.Sequence
}

// startable says whether somebody can send starts of the job.
func (b *batch) startable() bool { return !b.specless || b.sender != SubmissionKey{} }

// senderLost stops the starts that a lost VM was to send and that may be under way.
func (p *Scheduler) senderLost(link uint64) {
	for _, r := range p.openRuns() {
		if r.by.Conn == link && link != 0 && r.confirmed.IsZero() {
			p.stopRun(r)
		}
	}
	for _, b := range p.byID {
		if b.sender.Conn == link && b.specless {
			b.lose(b.sender)
		}
	}
}

// openRuns returns the runs that may be alive, in the order of their tasks.
func (p *Scheduler) openRuns() []*run {
	runs := make([]*run, 0, len(p.tasks))
	for _, r := range p.tasks {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].name < runs[j].name })
	return runs
}

// takeSpec learns from the answer to a start that its VM was to send and that is open or unsent.
func (b *batch) takeSpec(m StartResult, by SubmissionKey) {
	switch {
	case !b.specless || by == SubmissionKey{}:
	case m.SpecKnown:
		b.work.Spec, b.specless, b.sender = m.Spec, false, SubmissionKey{}
	default:
		b.lose(by)
	}
}
