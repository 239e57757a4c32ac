package entry

import (
	"sync"
	"time"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/link/linkpb"
)

// shard is the decision core of one service under its own lock.
type shard struct {
	service string
	mu      sync.Mutex
	core    *dispatch.Core
	buffers sync.Pool // of *[]dispatch.Effect
}

func newShard(service string, core *dispatch.Core) *shard {
	s := &shard{service: service, core: core}
	s.buffers.New = func() any { return new([]dispatch.Effect) }
	return s
}

// update hands a message to the core and executes its effects after the lock is released.
func (e *Server) update(s *shard, m dispatch.Message) {
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

// updateFrom hands a peer's message to the core; replies to that peer go into the batch that answers it.
func (e *Server) updateFrom(s *shard, m dispatch.PeerMessage, reply *linkpb.ServiceBatch) {
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

// execute carries out one effect of a core.
func (e *Server) execute(s *shard, effect dispatch.Effect) {
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
			e.offerJob(s, effect.Submit)
			return nil
		})
	case dispatch.SendToPeer:
		e.outboxes.add(effect.Peer, s.service, effect.Body)
	case dispatch.Probe:
		e.group.Go(func() error {
			e.probe(s, effect)
			return nil
		})
	}
}

// shardOf returns the shard of a service.
func (e *Server) shardOf(service string) (*shard, bool) {
	e.shardsMu.RLock()
	defer e.shardsMu.RUnlock()
	s, ok := e.shards[service]
	return s, ok
}

// allShards returns the shards of all services.
func (e *Server) allShards() []*shard {
	e.shardsMu.RLock()
	defer e.shardsMu.RUnlock()
	all := make([]*shard, 0, len(e.shards))
	for _, s := range e.shards {
		all = append(all, s)
	}
	return all
}

// tickLoop lets time pass in every core.
func (e *Server) tickLoop() {
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, s := range e.allShards() {
				e.update(s, dispatch.Tick{})
			}
		case <-e.ctx.Done():
			return
		}
	}
}

// answerOf returns the answer that a FinishJob stands for.
func answerOf(effect dispatch.FinishJob) job.Answer {
	return job.Answer{ID: effect.Job, Outcome: effect.Outcome, Reason: effect.Reason, RetryAfter: effect.RetryAfter}
}
