package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meter holds the counters and histograms of a VM.
type meter struct {
	set        *metrics.Set
	starts     *metrics.Counter
	polls      *metrics.Counter
	claims     *metrics.Counter
	resumed    *metrics.Counter
	moved      *metrics.Counter
	withdrawn  *metrics.Counter
	startTime  *metrics.Histogram
	panics     *metrics.Counter
	pauses     *metrics.Counter
	transfers  *metrics.Counter
	isolations *metrics.Counter
	returned   *metrics.Counter
}

func newMeter() *meter {
	set := metrics.NewSet()
	return &meter{
		set:        set,
		starts:     set.NewCounter("samphireplank_task_starts_total"),
		polls:      set.NewCounter("samphireplank_worker_holds_total"),
		claims:     set.NewCounter("samphireplank_claims_total"),
		resumed:    set.NewCounter("samphireplank_jobs_resumed_total"),
		moved:      set.NewCounter("samphireplank_jobs_moved_total"),
		withdrawn:  set.NewCounter("samphireplank_jobs_withdrawn_total"),
		panics:     set.NewCounter("samphireplank_panics_total"),
		pauses:     set.NewCounter("samphireplank_pauses_total"),
		transfers:  set.NewCounter("samphireplank_jobs_transferred_total"),
		isolations: set.NewCounter("samphireplank_isolations_total"),
		returned:   set.NewCounter("samphireplank_jobs_returned_total"),
		startTime:  set.NewHistogram("samphireplank_task_start_seconds"),
	}
}

func (m *meter) recordResponse(route string, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("samphireplank_answers_total{route=%q,status=\"%d\"}", route, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("samphireplank_answer_seconds{route=%q}", route)).Update(took.Seconds())
}

func (m *meter) recordRefusal(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("samphireplank_client_refusals_total{reason=%q}", reason)).Inc()
}

// registerIntake registers what clients use at the moment.
func (m *meter) registerIntake(connections func() int, bodyBytes func() int64) {
	m.set.NewGauge("samphireplank_client_connections", func() float64 { return float64(connections()) })
	m.set.NewGauge("samphireplank_body_bytes_reserved", func() float64 { return float64(bodyBytes()) })
}

func (m *meter) recordRouteEvent(event, route string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("samphireplank_route_events_total{event=%q,route=%q}", event, route)).Inc()
}

func (m *meter) write(w io.Writer) { m.set.WritePrometheus(w) }

// RegisterDroppedMetric registers the number of dropped log lines as a metric.
func (g *Gateway) RegisterDroppedMetric(dropped func() int64) {
	g.meter.set.NewGauge("samphireplank_log_lines_dropped", func() float64 { return float64(dropped()) })
}
