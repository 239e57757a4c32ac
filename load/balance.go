package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// An entry VM keeps serving for its drain delay after readiness is off, which is seconds; the checks are more frequent.
const (
	readinessPeriod  = 100 * time.Millisecond
	readinessTimeout = 500 * time.Millisecond
)

// balance keeps calls away from entry VMs that are not ready, as the platform's balancer does.
type balance struct {
	enabled bool
	clients []*fasthttp.HostClient
	tickets []*tickets
	ready   []atomic.Bool
}

func newBalance(enabled bool, clients []*fasthttp.HostClient, tickets []*tickets) *balance {
	b := &balance{enabled: enabled, clients: clients, tickets: tickets, ready: make([]atomic.Bool, len(clients))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// route returns the entry VM, or the next one that is ready.
func (b *balance) route(target int) int {
	if !b.enabled {
		return target
	}
	for i := range b.ready {
		if next := (target + i) % len(b.ready); b.ready[next].Load() {
			return next
		}
	}
	return target
}

// needsTicket reports whether the starts of a job could not be judged without its id: retries of idempotent kinds are
// allowed, and an entry VM that dies takes the id of a job without a ticket with it.
func (b *balance) needsTicket(a arrival) bool { return b.enabled && a.mix.Idempotent }

// start checks the readiness of all entry VMs until the function that it returns is called.
func (b *balance) start(ctx context.Context) (stop func()) {
	if !b.enabled {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range b.clients {
		group.Go(func() { b.watch(ctx, i) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func (b *balance) watch(ctx context.Context, i int) {
	checker := newHTTPClient(b.clients[i].Addr)
	ticker := time.NewTicker(readinessPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.set(i, isReady(checker))
	}
}

// set notes the readiness of an entry VM, whose connections and tickets don't outlive a change: it may be a new one.
func (b *balance) set(i int, ready bool) {
	if b.ready[i].Load() == ready {
		return
	}
	b.clients[i].CloseIdleConnections()
	b.tickets[i].drop()
	if ready && b.tickets[i].fill() != nil {
		return
	}
	b.ready[i].Store(ready)
}

func isReady(client *fasthttp.HostClient) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + client.Addr + "/readyz")
	request.SetConnectionClose()
	err := client.DoTimeout(request, response, readinessTimeout)
	return err == nil && response.StatusCode() == fasthttp.StatusOK
}
