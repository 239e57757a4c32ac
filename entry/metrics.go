package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
)

// metricSet holds the metrics of one entry VM; it isn't global because several may run in one process.
type metricSet struct {
	set             *metrics.Set
	forwards        *metrics.Counter
	forwardsRefused *metrics.Counter
	exchanges       *metrics.Counter
	exchangesFailed *metrics.Counter
	probes          *metrics.Counter
	linkSent        *metrics.Counter // bytes, without TCP and IP
	linkReceived    *metrics.Counter

	platformReads         *metrics.Counter
	platformWatches       *metrics.Counter
	platformLists         *metrics.Counter
	platformRegistrations *metrics.Counter
}

func newMetricSet() *metricSet {
	set := metrics.NewSet()
	return &metricSet{
		set:             set,
		forwards:        set.NewCounter("samphireplank_forwards_total"),
		forwardsRefused: set.NewCounter("samphireplank_forwards_refused_total"),
		exchanges:       set.NewCounter("samphireplank_exchanges_total"),
		exchangesFailed: set.NewCounter("samphireplank_exchanges_failed_total"),
		probes:          set.NewCounter("samphireplank_probes_total"),
		linkSent:        set.NewCounter(`samphireplank_link_bytes_total{direction="sent"}`),
		linkReceived:    set.NewCounter(`samphireplank_link_bytes_total{direction="received"}`),

		platformReads:         set.NewCounter(`samphireplank_platform_calls_total{call="read"}`),
		platformWatches:       set.NewCounter(`samphireplank_platform_calls_total{call="watch"}`),
		platformLists:         set.NewCounter(`samphireplank_platform_calls_total{call="list"}`),
		platformRegistrations: set.NewCounter(`samphireplank_platform_calls_total{call="registration"}`),
	}
}

// jobEnded counts the outcome of a job and its response time by priority and team.
func (m *metricSet) jobEnded(rec *jobRecord, outcome job.Outcome, now time.Time) {
	labels := fmt.Sprintf("{priority=%q,team=%q}", rec.kind.Priority, rec.submission.Team)
	m.set.GetOrCreateHistogram("samphireplank_response_seconds" + labels).Update(now.Sub(rec.accepted).Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf("samphireplank_jobs_total{priority=%q,team=%q,outcome=%q}",
		rec.kind.Priority, rec.submission.Team, outcome)).Inc()
}

// taskEnded counts the result of a send and its run time by priority and team.
func (m *metricSet) taskEnded(rec *jobRecord, response endpoint.Response) {
	labels := fmt.Sprintf("{priority=%q,team=%q}", rec.kind.Priority, rec.submission.Team)
	m.set.GetOrCreateHistogram("samphireplank_run_seconds" + labels).Update(response.RunTime.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf("samphireplank_sends_total{priority=%q,result=%q}",
		rec.kind.Priority, response.Result)).Inc()
}

func (e *Server) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	e.metrics.set.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}
