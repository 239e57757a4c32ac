package chaos

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/standin"
)

// span is the time in which an event had its effect.
type span struct {
	event    FaultEvent
	from, to time.Time
}

// injector carries out a schedule.
type injector struct {
	cluster *cluster
	record  *record

	mu        sync.Mutex
	platform  []FaultEvent
	endpoints map[string][]FaultEvent
	restarts  map[string]*sync.Mutex // held by whoever restarts an endpoint
}

func newInjector(c *cluster, r *record) *injector {
	return &injector{cluster: c, record: r, endpoints: map[string][]FaultEvent{}, restarts: map[string]*sync.Mutex{}}
}

// run carries out all events at their times and returns when all faults are over; ctx ends the run early.
func (i *injector) run(ctx context.Context, start time.Time, events []FaultEvent) error {
	var group errgroup.Group
	for _, event := range events {
		group.Go(func() error {
			if !sleep(ctx, time.Until(start.Add(event.At))) {
				return nil
			}
			// The wait for an earlier event on the same target is no part of the time that excuses broken calls.
			defer i.occupy(event)()
			from := time.Now()
			err := i.carryOut(ctx, event)
			i.record.span(span{event: event, from: from, to: time.Now()})
			if err != nil {
				return fmt.Errorf("%s: %w", event, err)
			}
			return nil
		})
	}
	return group.Wait()
}

// occupy waits until no other event restarts the target of an event that restarts it, and returns the function that
// ends this. All other events may hit a target at any moment.
func (i *injector) occupy(e FaultEvent) (release func()) {
	var life *sync.Mutex
	switch e.Kind {
	case Kill, Stop:
		life = &i.cluster.entries[e.Entry].life
	case EndpointLeave, EndpointRestart:
		life = i.restart(e.Endpoint)
	default:
		return func() {}
	}
	life.Lock()
	return life.Unlock
}

func (i *injector) carryOut(ctx context.Context, e FaultEvent) error {
	switch {
	case e.entry():
		return i.onEntry(ctx, e, i.cluster.entries[e.Entry])
	case e.platform():
		return i.during(ctx, e, i.setPlatform)
	case e.Kind == EndpointLeave || e.Kind == EndpointRestart:
		return i.restartEndpoint(ctx, e)
	case strings.HasPrefix(string(e.Kind), endpointPrefix):
		return i.during(ctx, e, i.setEndpoint)
	}
	return i.during(ctx, e, func(_ context.Context, e FaultEvent, change int) error {
		i.cluster.links.apply(e, change)
		return nil
	})
}

// during switches a fault on and, after its time, off.
func (i *injector) during(ctx context.Context, e FaultEvent, set func(context.Context, FaultEvent, int) error) error {
	if err := set(ctx, e, 1); err != nil {
		return err
	}
	sleep(ctx, e.Duration)
	return set(context.WithoutCancel(ctx), e, -1)
}

func (i *injector) onEntry(ctx context.Context, e FaultEvent, vm *entryVM) error {
	if e.Kind == Pause {
		p := vm.current()
		p.signal(syscall.SIGSTOP)
		sleep(ctx, e.Duration)
		p.signal(syscall.SIGCONT)
		return nil
	}
	if e.Kind == Kill {
		vm.current().kill()
	} else {
		i.stop(ctx, vm, e)
	}
	if !sleep(ctx, e.Duration) {
		return nil
	}
	if err := i.cluster.startEntry(vm); err != nil {
		return err
	}
	// A VM that starts while the platform is down and its peers are away gets its configuration later.
	return i.cluster.awaitReady(ctx, vm)
}

// stop shuts an entry VM down gracefully and records when it doesn't end with exit code 0.
func (i *injector) stop(ctx context.Context, vm *entryVM, e FaultEvent) {
	p := vm.current()
	p.signal(syscall.SIGTERM)
	if err := p.wait(ctx, stopTimeout); err != nil {
		i.record.violation("planned stop with exit code 0", fmt.Sprintf("%s: %v", e, err))
		p.kill()
	}
}

// restartEndpoint stops an endpoint after a notice or without one, and starts it again.
func (i *injector) restartEndpoint(ctx context.Context, e FaultEvent) error {
	actions := []string{"stop", "start"}
	if e.Kind == EndpointLeave {
		actions = []string{"leave", "stop", "start"}
	}
	for n, action := range actions {
		if n == 1 {
			sleep(ctx, e.Duration)
		}
		if _, err := i.cluster.http.call(context.WithoutCancel(ctx), http.MethodPost, i.endpoint(e, action), nil); err != nil {
			return err
		}
	}
	return nil
}

func (i *injector) restart(endpoint string) *sync.Mutex {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.restarts[endpoint] == nil {
		i.restarts[endpoint] = &sync.Mutex{}
	}
	return i.restarts[endpoint]
}

// endpoint returns the URL of an action on an endpoint, whose id holds the number of its zone.
func (i *injector) endpoint(e FaultEvent, action string) string {
	var zone, number int
	_, _ = fmt.Sscanf(e.Endpoint, "endpoint-%d-%d", &zone, &number)
	return fmt.Sprintf("http://%s/admin/endpoints/%s/%s", i.cluster.address(endpointAdminPort+zone), e.Endpoint, action)
}

// toggle adds an event with 1 and removes it with -1.
func toggle(active []FaultEvent, e FaultEvent, change int) []FaultEvent {
	if change > 0 {
		return append(active, e)
	}
	kept := active[:0:0]
	for _, other := range active {
		if other.Number != e.Number {
			kept = append(kept, other)
		}
	}
	return kept
}

// Severity of the platform's faults; a slow call still ends within the time limit of a client.
const (
	platformDelay      = 400 * time.Millisecond
	platformLoseAnswer = 0.7
)

func (i *injector) setPlatform(ctx context.Context, e FaultEvent, change int) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.platform = toggle(i.platform, e, change)
	faults := standin.PlatformFaults{ListLagMS: int(listLag.Milliseconds())}
	for _, active := range i.platform {
		switch active.Kind {
		case PlatformDown:
			faults.Down = true
		case PlatformSlow:
			faults.DelayMS = int(platformDelay.Milliseconds())
		case PlatformLosesAnswers:
			faults.LostReplyProbability = platformLoseAnswer
		case PlatformPartition:
			faults.PartitionedZones = append(faults.PartitionedZones, active.From)
		}
	}
	_, err := i.cluster.http.call(ctx, http.MethodPut, "http://"+i.cluster.platform()+"/admin/faults", faults)
	return err
}

// lateAnswer is the delay of late answers, above the deadline of the urgent kind.
const lateAnswer = 2500 * time.Millisecond

func (i *injector) setEndpoint(ctx context.Context, e FaultEvent, change int) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.endpoints[e.Endpoint] = toggle(i.endpoints[e.Endpoint], e, change)
	faults := []standin.Fault{}
	for _, active := range i.endpoints[e.Endpoint] {
		fault := standin.Fault{Kind: standin.FaultKind(strings.TrimPrefix(string(active.Kind), endpointPrefix))}
		if fault.Kind == standin.FaultDelayedReply {
			fault.DelayMS = int(lateAnswer.Milliseconds())
		}
		faults = append(faults, fault)
	}
	_, err := i.cluster.http.call(ctx, http.MethodPut, i.endpoint(e, "faults"), faults)
	return err
}
