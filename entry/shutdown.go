package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/store"
)

const shutdownPollInterval = 20 * time.Millisecond

// shutdown stops in an order that aborts no request: it turns readiness off, waits for the load balancer, hands over
// the endpoints, waits until all jobs are answered, and closes the listeners.
func (e *Server) shutdown() error {
	e.config.Log.Info().Str("event", "stopping").Msg("graceful shutdown started")
	e.stopping.Store(true)
	e.callerServer.Drain()
	if e.config.Registrar != nil {
		e.group.Go(func() error { return e.register(store.StateLeaving) })
	}
	e.sleep(e.config.DrainDelay)
	ctx, cancel := context.WithTimeout(e.ctx, e.config.StopTimeout)
	defer cancel()
	e.handOver()
	err := e.callerServer.Shutdown(ctx)
	err = errors.Join(err, e.awaitIdle(ctx))
	e.sleep(heartbeatInterval) // the peerSenders send the last returns and handovers
	err = errors.Join(err, e.linkServer.Shutdown(ctx))
	e.endpointClient.Close()
	if err != nil {
		err = fmt.Errorf("graceful shutdown: %w", err)
	}
	e.config.Log.Info().Str("event", "stopped").Err(err).Msg("graceful shutdown ended")
	return err
}

// handOver marks this VM as leaving and hands its endpoints over to their next owners.
func (e *Server) handOver() {
	e.membership.Merge(time.Now(), []store.VM{e.selfState()})
	e.configMu.Lock()
	e.applyMembership()
	e.configMu.Unlock()
	for _, s := range e.allCores() {
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
		case <-time.After(shutdownPollInterval):
		}
	}
}

func (e *Server) unanswered() int {
	count := int(e.registry.pending.Load() + e.delegated.pending.Load()) // includes forwarded jobs, which no core holds
	for _, s := range e.allCores() {
		s.mu.Lock()
		count += s.core.Jobs()
		s.mu.Unlock()
	}
	return count
}
