package endpoint

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// standInVariable makes the test binary serve as an endpoint, so that the benchmark measures only the client's CPU
// time.
const standInVariable = "SAMPHIREPLANK_TEST_ENDPOINT"

func TestMain(m *testing.M) {
	if os.Getenv(standInVariable) != "" {
		if err := serveStandIn(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveStandIn prints its address and serves until its standard input ends.
func serveStandIn() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV(HeaderTaskID, ctx.Request.Header.Peek(HeaderTaskID))
		ctx.SetContentType("application/json")
		ctx.SetBody(ctx.PostBody())
	}}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	_, err = io.Copy(io.Discard, os.Stdin)
	_ = listener.Close()
	group.Wait()
	return err
}

func startStandIn(b *testing.B) string {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), standInVariable+"=1")
	input, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return line[:len(line)-1]
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSend measures one task of 200 bytes to an endpoint in another process.
func BenchmarkSend(b *testing.B) {
	for _, senders := range []int{1, 8, 64} {
		b.Run(strconv.Itoa(senders), func(b *testing.B) { benchmarkSend(b, startStandIn(b), senders) })
	}
}

func benchmarkSend(b *testing.B, address string, senders int) {
	c := NewClient(ClientConfig{})
	defer c.Close()
	request := testRequest(address)
	request.MaxConnections = senders
	request.Body = bytes.Repeat([]byte("x"), 200)
	tasks := make(chan struct{}, senders)
	var group sync.WaitGroup
	before := processorTime(b)
	b.ResetTimer()
	for range senders {
		group.Go(func() {
			for range tasks {
				if response := c.Send(b.Context(), request); response.Result != Succeeded {
					b.Errorf("%v: %v", response.Result, response.Err)
				}
			}
		})
	}
	for range b.N {
		tasks <- struct{}{}
	}
	close(tasks)
	group.Wait()
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/task")
}
