package standin

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against a restarted worker that answers a request of its earlier incarnation, or keeps a connection to it open.
func TestCrashedWorkerAnswersEarlierRequest(t *testing.T) {
	is := is.New(t)
	w := NewWorker(WorkerConfig{ID: "i-1", MilliCores: 64000, Checker: NewRunChecker(), MaxLease: time.Second})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	var group errgroup.Group
	group.Go(func() error { return w.Serve(l) })
	defer func() { is.NoErr(group.Wait()) }()
	defer func() { is.NoErr(w.Close()) }()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	poll := func(order string) error {
		response, err := client.Post("http://"+l.Addr().String()+"/v1/hold", "application/json", strings.NewReader(order))
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	is.NoErr(poll("{}"))
	var waiting errgroup.Group
	waiting.Go(func() error { return poll(`{"fence_token":7,"wait_ms":1000}`) })
	received := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.fence == 7
	}
	for !received() {
		time.Sleep(time.Millisecond)
	}
	w.Crash()
	is.True(waiting.Wait() != nil)
	is.NoErr(poll("{}"))
}
