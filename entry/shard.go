package entry

import (
	"sync"
	"time"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/link/linkpb"
)

// serviceCore is the decision core of one service, guarded by a lock of its own.
type serviceCore struct {
	service string
	mu      sync.Mutex
	core    *dispatch.Core
	buffers sync.Pool // of *[]dispatch.Effect
}

func newServiceCore(service string, core *dispatch.Core) *serviceCore {
	s := &serviceCore{service: service, core: core}
	s.buffers.New = func() any { return new([]dispatch.Effect) }
	return s
}

// update passes a message to the core and executes the effects after it releases the lock.
func (e *Server) update(s *serviceCore, m dispatch.Message) {
	buffer := s.buffers.Get().(*[]dispatch.Effect)
	s.mu.Lock()
	effects := s.core.Update(time.Now(), m, (*buffer)[:0])
	s.mu.Unlock()
	for _, effect := range effects {
		e.execute(s, effect)
	}
	clear(effects)
	*buffer = effects
	s.buffers.Put(buffer)
}

// updateFrom passes a peer's message to the core; messages to that peer are added to reply.
func (e *Server) updateFrom(s *serviceCore, m dispatch.PeerMessage, reply *linkpb.ServiceBatch) {
	s.mu.Lock()
	effects := s.core.Update(time.Now(), m, nil)
	s.mu.Unlock()
	for _, effect := range effects {
		if send, ok := effect.(dispatch.SendToPeer); ok && send.Peer == m.From {
			appendBody(reply, send.Body, e.flowIndex())
			continue
		}
		e.execute(s, effect)
	}
}

// execute executes one effect of a core.
func (e *Server) execute(s *serviceCore, effect dispatch.Effect) {
	switch effect := effect.(type) {
	case dispatch.StartTask:
		e.group.Go(func() error {
			e.send(s, effect)
			return nil
		})
	case dispatch.FinishJob:
		e.finish(s, effect)
	case dispatch.ForwardJob:
		e.group.Go(func() error {
			e.tryForward(s, effect.Submit)
			return nil
		})
	case dispatch.SendToPeer:
		e.peerSenders.add(effect.Peer, s.service, effect.Body)
	case dispatch.Probe:
		e.group.Go(func() error {
			e.probe(s, effect)
			return nil
		})
	}
}

// coreOf returns the core of a service.
func (e *Server) coreOf(service string) (*serviceCore, bool) {
	e.serviceCoresMu.RLock()
	defer e.serviceCoresMu.RUnlock()
	s, ok := e.serviceCores[service]
	return s, ok
}

// allCores returns the cores of all services.
func (e *Server) allCores() []*serviceCore {
	e.serviceCoresMu.RLock()
	defer e.serviceCoresMu.RUnlock()
	all := make([]*serviceCore, 0, len(e.serviceCores))
	for _, s := range e.serviceCores {
		all = append(all, s)
	}
	return all
}

// tickLoop sends a Tick to every core at dispatch.TickInterval.
func (e *Server) tickLoop() {
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, s := range e.allCores() {
				e.update(s, dispatch.Tick{})
			}
		case <-e.ctx.Done():
			return
		}
	}
}

// answerOf converts a FinishJob to an answer without results.
func answerOf(effect dispatch.FinishJob) job.Answer {
	return job.Answer{ID: effect.Job, Outcome: effect.Outcome, Reason: effect.Reason, RetryAfter: effect.RetryAfter}
}
