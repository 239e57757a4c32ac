package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/store"
)

const shutdownPoll = 20 * time.Millisecond

// shutdown stops in the order that cuts off no request: readiness off, wait for the balancer, answer everything,
// give the slots back, close.
func (e *Server) shutdown() error {
	e.config.Log.Info().Str("event", "stopping").Msg("graceful shutdown started")
	e.stopping.Store(true)
	e.callers.Drain()
	if e.config.Registrar != nil {
		e.group.Go(func() error { return e.register(store.StateLeaving) })
	}
	e.sleep(e.config.DrainDelay)
	ctx, cancel := context.WithTimeout(e.ctx, e.config.StopTimeout)
	defer cancel()
	e.handOver()
	err := e.callers.Shutdown(ctx)
	err = errors.Join(err, e.awaitIdle(ctx))
	e.sleep(heartbeatPeriod) // the last returns and handovers leave with the outboxes
	err = errors.Join(err, e.linkServer.Shutdown(ctx))
	e.endpoints.Close()
	if err != nil {
		err = fmt.Errorf("graceful shutdown: %w", err)
	}
	e.config.Log.Info().Str("event", "stopped").Err(err).Msg("graceful shutdown ended")
	return err
}

// handOver tells peers that this VM leaves and gives its endpoints to their next owners.
func (e *Server) handOver() {
	e.table.Merge(time.Now(), []store.VM{e.selfState()})
	e.configure.Lock()
	e.applyMembership()
	e.configure.Unlock()
	for _, s := range e.allShards() {
		e.update(s, dispatch.Drain{})
	}
}

// awaitIdle waits until no core has an unanswered job or a task in flight.
func (e *Server) awaitIdle(ctx context.Context) error {
	for {
		if e.unanswered() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d jobs are unanswered", e.unanswered())
		case <-time.After(shutdownPoll):
		}
	}
}

func (e *Server) unanswered() int {
	count := int(e.registry.pending.Load() + e.delegated.pending.Load()) // forwarded jobs are in no core
	for _, s := range e.allShards() {
		s.mu.Lock()
		count += s.core.Jobs()
		s.mu.Unlock()
	}
	return count
}
