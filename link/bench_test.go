package link

import (
	"syscall"
	"testing"
	"time"

	"samphireplank.example/samphireplank/link/linkpb"
)

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkExchange measures a report and its answer; the CPU time covers client and server.
func BenchmarkExchange(b *testing.B) {
	for name, batch := range map[string]*linkpb.Batch{"idle": idleReport(), "busy": busyReport()} {
		b.Run(name, func(b *testing.B) {
			h := &fakeHandler{exchange: func(*linkpb.Batch) *linkpb.Batch { return &linkpb.Batch{} }}
			_, address := startServer(b, h)
			c := testClient(b, ClientConfig{})
			before := cpuTime(b)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Exchange(b.Context(), address, batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/exchange")
		})
	}
}
