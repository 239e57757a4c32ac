package load

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// serveIdeal answers each job after its longest run time, as an idle fleet without overhead would.
func serveIdeal(ctx *fasthttp.RequestCtx) {
	var body struct {
		Tasks []struct {
			RunMS float64 `json:"run-ms"`
			Token string  `json:"token"`
		} `json:"tasks"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	var longest float64
	out := []byte(`{"id":"a.b.1.1","outcome":"complete","results":[`)
	for i, task := range body.Tasks {
		longest = max(longest, task.RunMS)
		if i > 0 {
			out = append(out, ',')
		}
		out = append(append(append(out, `{"token":"`...), task.Token...), `"}`...)
	}
	time.Sleep(time.Duration(longest * float64(time.Millisecond)))
	ctx.SetBody(append(out, `]}`...))
}

// BenchmarkRun offers 20,000 tasks/s in jobs of about 10 to an ideal entry VM in the same process.
func BenchmarkRun(b *testing.B) {
	address := serveOn(b, serveIdeal)
	for b.Loop() {
		p := testProfile()
		p.Rate, p.Duration, p.WarmUp = 20_000, 10*time.Second, time.Second
		p.Workloads[0].Tasks = SizeDistribution{Median: 8, Sigma: 0.7, Max: 150}
		p.Workloads[0].RunTime = TimeDistribution{Median: 120 * time.Millisecond, Sigma: 0.7, Min: 50 * time.Millisecond, Max: 5 * time.Second}
		p.Workloads[0].Deadline = 10 * time.Second
		report, err := Run(b.Context(), Config{Profile: p, Entries: []string{address, address, address}})
		if err != nil || report.Err() != nil {
			b.Fatal(err, report.Err())
		}
		c := report.Classes[0]
		b.ReportMetric(float64(c.Tasks)/9, "tasks/s")
		b.ReportMetric(c.Slowdown.P50, "slowdown-p50")
		b.ReportMetric(c.Slowdown.P99, "slowdown-p99")
		b.ReportMetric(report.GeneratorLagMS.P99, "lag-p99-ms")
	}
}
