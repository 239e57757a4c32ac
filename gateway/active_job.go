package gateway

import "context"

// activeJob is a job in progress at this VM.
type activeJob struct {
	id       string
	route    string
	ctx      context.Context // ends when all callers have left or the job is cancelled
	cancel   context.CancelFunc
	isolated bool          // the VM was cut off, so that the callers may have left
	callers  int           // requests that wait for the reply
	done     chan struct{} // closed when the reply is known
	reply    Reply
}

// enterJob adds a request to the job in progress with its id. It returns true if there is none, so that the caller runs
// the job. A request comes again while the first one is in progress if this VM does not see that the connection of the
// first one is broken.
func (g *Gateway) enterJob(ctx context.Context, s Submission) (a *activeJob, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a = g.active[s.Work.ID]; a != nil && a.ctx.Err() == nil {
		a.callers++
		return a, false
	}
	a = &activeJob{id: s.Work.ID, route: s.Policy.Route, callers: 1, done: make(chan struct{}), reply: OutcomeUnknown{Reason: "the request has failed"}}
	a.ctx, a.cancel = context.WithCancel(context.WithoutCancel(ctx))
	g.active[a.id] = a
	return a, true
}

// leaveJob removes a request whose caller has disconnected.
func (g *Gateway) leaveJob(a *activeJob) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.callers--; a.callers == 0 {
		a.cancel()
	}
}

// endJob ends a job in progress once its reply is known.
func (g *Gateway) endJob(a *activeJob) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.cancel()
	close(a.done)
	if g.active[a.id] == a {
		delete(g.active, a.id)
	}
}

// awaitReply waits for the reply to another request for the same job.
func (g *Gateway) awaitReply(ctx context.Context, a *activeJob, s Submission) Reply {
	g.log.Info().Str("event", "request-joined").Str("job", a.id).Str("route", s.Policy.Route).Msg("another request for the job is in progress")
	select {
	case <-a.done:
		return a.reply
	case <-ctx.Done():
		return CallerGone{}
	}
}

// cancelActive cancels a job that is in progress at this VM and reports whether there was one.
func (g *Gateway) cancelActive(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.active[id]
	if a != nil {
		a.cancel()
	}
	return a != nil
}

// IsActive reports whether a job is in progress at this VM.
func (g *Gateway) IsActive(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active[id] != nil
}
