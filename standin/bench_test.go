package standin

import (
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkEndpoints sends tasks of 0.1 ms to 16 endpoints in this process, client included.
func BenchmarkEndpoints(b *testing.B) {
	cfg := FleetConfig{}
	for i := range 16 {
		cfg.Endpoints = append(cfg.Endpoints, EndpointConfig{ID: "endpoint-" + strconv.Itoa(i+1), Slots: 1000, Connections: 1000})
	}
	fleet := NewFleet(cfg)
	if err := fleet.Start(); err != nil {
		b.Fatal(err)
	}
	var next atomic.Uint64
	client := &fasthttp.Client{MaxConnsPerHost: 1000}
	b.SetParallelism(20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		for pb.Next() {
			n := next.Add(1)
			request.Header.SetMethod(fasthttp.MethodPost)
			request.SetRequestURI("http://" + fleet.Endpoints()[n%16].VM().Address + "/run")
			request.Header.Set("Task-Id", "zone-a.entry-1.k3f9."+strconv.FormatUint(n, 36)+"/0")
			request.SetBodyString(`{"run-ms":0.1,"token":"t0123456789abcdef"}`)
			if err := client.Do(request, response); err != nil {
				b.Error(err)
			}
		}
	})
	b.StopTimer()
	if tasks, extra := fleet.TaskCounter().StartTotals(); tasks != next.Load() || extra != 0 {
		b.Errorf("%d of %d tasks counted, %d starts over one", tasks, next.Load(), extra)
	}
	b.ReportMetric(float64(next.Load())/b.Elapsed().Seconds(), "starts/s")
	if err := fleet.Close(); err != nil {
		b.Fatal(err)
	}
}
