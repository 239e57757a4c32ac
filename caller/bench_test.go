package caller

import (
	"bufio"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/job"
)

// jobOfTen is a job of ten tasks of 200 bytes each.
var jobOfTen = `{"kind":"scan","team":"birch","tasks":[` + strings.Repeat(`{"b":"`+strings.Repeat("x", 192)+`"},`, 9) + `{"b":1}]}`

func tenResults(job.ID) (job.Answer, error) {
	answer := job.Answer{Outcome: job.Complete}
	for range 10 {
		answer.Results = append(answer.Results, job.Result{Body: []byte(`{"r":"` + strings.Repeat("x", 192) + `"}`)})
	}
	return answer, nil
}

// quietDispatcher answers immediately and records nothing.
type quietDispatcher struct{ fakeDispatcher }

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkJobHandler measures decoding, submitting and encoding one job of ten tasks without a connection.
func BenchmarkJobHandler(b *testing.B) {
	d := &quietDispatcher{}
	answer, _ := tenResults(testID)
	d.answer = func(job.ID) (job.Answer, error) { return answer, nil }
	server := NewServer(Config{Dispatcher: d})
	var ctx fasthttp.RequestCtx
	b.ReportAllocs()
	for b.Loop() {
		ctx.Request.Reset()
		ctx.Response.Reset()
		ctx.Request.Header.SetMethod("POST")
		ctx.Request.SetRequestURI("/v1/jobs")
		ctx.Request.SetBodyString(jobOfTen)
		server.handle(&ctx)
		if ctx.Response.StatusCode() != 200 {
			b.Fatal(ctx.Response.String())
		}
	}
}

// BenchmarkJobConnection measures one job of ten tasks over 64 connections; the CPU time includes both sides.
func BenchmarkJobConnection(b *testing.B) {
	d := &quietDispatcher{}
	answer, _ := tenResults(testID)
	d.answer = func(job.ID) (job.Answer, error) { return answer, nil }
	_, address := startServer(b, Config{Dispatcher: d})
	request := []byte(post("/v1/jobs", jobOfTen))
	b.SetParallelism(8)
	before := processorTime(b)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		reader := bufio.NewReaderSize(c, 64<<10)
		var response fasthttp.Response
		for pb.Next() {
			if _, err := c.Write(request); err != nil {
				b.Error(err)
				return
			}
			if err := response.Read(reader); err != nil && err != io.EOF {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/job")
}
