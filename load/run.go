package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// answerGrace is the time after its deadline for which a caller waits for an answer.
const answerGrace = 5 * time.Second

// Config configures a Run.
type Config struct {
	Profile         *Profile
	Entries         []string      // host:port of the entry VMs, in the order of the profile's weights
	StandIns        []string      // host:port of the admin servers of the endpoint stand-ins; none for a report without counts
	FailoverToReady bool          // send to ready entry VMs only, and to another one what could not be sent
	SettleDelay     time.Duration // from the last answer to the final counts, in which late starts show
}

// Run carries out a profile and returns its report.
//
//	report, err := load.Run(ctx, load.Config{Profile: profile, Entries: []string{"127.0.0.1:8000"}})
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r, err := newRunner(cfg)
	if err != nil {
		return nil, err
	}
	if err := r.judge.reset(); err != nil {
		return nil, err
	}
	if err := r.prepare(); err != nil {
		return nil, err
	}
	defer r.balance.start(ctx)()
	if err := r.offer(ctx); err != nil {
		return nil, err
	}
	busy, countErr := r.judge.counts()
	offered := time.Since(r.start)
	_ = r.group.Wait()
	if err := sleepUntil(ctx, time.Now().Add(cfg.SettleDelay)); err != nil {
		return nil, err
	}
	return r.report(busy, offered, countErr), nil
}

// runner is a run in progress.
type runner struct {
	profile  *Profile
	schedule *schedule
	clients  []*fasthttp.HostClient
	tickets  []*tickets // of each entry VM
	waves    *waves
	balance  *balance
	recorder *recorder
	judge    *judge
	start    time.Time
	group    errgroup.Group
}

func newRunner(cfg Config) (*runner, error) {
	if len(cfg.Entries) == 0 {
		return nil, fmt.Errorf("no entry VM is given")
	}
	s, err := newSchedule(cfg.Profile, len(cfg.Entries))
	if err != nil {
		return nil, err
	}
	r := &runner{profile: cfg.Profile, schedule: s, recorder: newRecorder(cfg.Profile), judge: newJudge(cfg.StandIns)}
	r.waves = newWaves()
	for _, entry := range cfg.Entries {
		client := newHTTPClient(entry)
		r.clients = append(r.clients, client)
		r.tickets = append(r.tickets, &tickets{client: client})
	}
	r.balance = newBalance(cfg.FailoverToReady, r.clients, r.tickets)
	return r, nil
}

// newHTTPClient returns a client that never repeats a request by itself.
func newHTTPClient(address string) *fasthttp.HostClient {
	// Each waiting caller holds a connection; a source address has about 28,000 ports for one destination.
	const maxConnections = 24_000
	return &fasthttp.HostClient{
		Addr:                          strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/"),
		MaxConns:                      maxConnections,
		MaxIdleConnDuration:           5 * time.Second,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		Dial: func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, time.Second)
		},
	}
}

// offer submits each job at its time, whether or not earlier jobs are answered.
func (r *runner) offer(ctx context.Context) error {
	// Fewer collections keep the tool's pauses out of the measured response times.
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	r.start = time.Now()
	r.startWaves(ctx)
	r.startSamples(ctx)
	for {
		a, more := r.schedule.take()
		if !more {
			break
		}
		if err := sleepUntil(ctx, r.start.Add(a.at)); err != nil {
			return err
		}
		r.group.Go(func() error {
			r.submit(a)
			return nil
		})
	}
	return sleepUntil(ctx, r.start.Add(r.profile.Duration))
}

// startSamples measures the utilisation of the endpoints in each flood.
func (r *runner) startSamples(ctx context.Context) {
	for i, f := range r.profile.Floods {
		r.group.Go(func() error {
			if err := sleepUntil(ctx, r.start.Add(f.From)); err != nil {
				return err
			}
			from, began := r.judge.sample()
			if err := sleepUntil(ctx, r.start.Add(min(f.To, r.profile.Duration))); err != nil {
				return err
			}
			to, ended := r.judge.sample()
			r.recorder.flood(i, from, to, ended.Sub(began))
			return nil
		})
	}
}

// sleepUntil returns at the time or with the error of ctx.
func sleepUntil(ctx context.Context, at time.Time) error {
	// The runtime's timers are precise enough until shortly before the time.
	const coarse = 5 * time.Millisecond
	if d := time.Until(at); d > coarse {
		timer := time.NewTimer(d - coarse)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for d := time.Until(at); d > 0; d = time.Until(at) {
		sleepPrecisely(d)
	}
	return ctx.Err()
}

// exchange submits a job; with a balancer, a job of which no byte was sent goes to the next entry VM.
func (r *runner) exchange(target int, a arrival, id string, until time.Time) result {
	got := r.exchangeOnce(target, a, id, until)
	for range len(r.clients) - 1 {
		if !r.balance.enabled || got.outcome != outcomeUnreachable || time.Now().After(until) {
			break
		}
		r.recorder.failover()
		target = r.balance.route((target + 1) % len(r.clients))
		got = r.exchangeOnce(target, a, id, until)
	}
	return got
}

func (r *runner) exchangeOnce(target int, a arrival, id string, until time.Time) result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	client := r.clients[target]
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + client.Addr + "/v1/jobs")
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(appendBody(nil, a, r.profile.Seed, id))
	sent := time.Now()
	if err := client.DoDeadline(request, response, until); err != nil {
		got := failure(err)
		abandoned := errors.Is(err, fasthttp.ErrTimeout) && until.Before(r.start.Add(a.at+a.mix.Deadline+answerGrace))
		if got.outcome == outcomeBroken && !abandoned {
			r.recorder.broken(FailedCall{Entry: client.Addr, Sent: sent, At: time.Now(), Reason: err.Error(), Timeout: errors.Is(err, fasthttp.ErrTimeout)})
		}
		return got
	}
	return check(response.StatusCode(), response.Body(), a, r.profile.Seed, id)
}
