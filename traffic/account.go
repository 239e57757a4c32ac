package traffic

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Flow is what was exchanged for one purpose.
type Flow struct {
	Purpose  string
	Messages int64 // sent
	Sent     int64 // bytes of payload, without those of TCP and IP
	Received int64 // bytes
}

// Account sums up the traffic of a process by purpose; a nil Account counts nothing.
type Account struct {
	mu     sync.RWMutex
	flows  map[string]*counters
	uplink uplink
}

// AccountConfig configures an Account.
type AccountConfig struct {
	Rate float64 // of the VM's link in bytes a second, 0 if it is not known
}

type counters struct{ messages, sent, received atomic.Int64 }

// NewAccount returns an Account without traffic.
func NewAccount(config AccountConfig) *Account {
	return &Account{flows: map[string]*counters{}, uplink: uplink{rate: config.Rate}}
}

func (a *Account) of(purpose string) *counters {
	a.mu.RLock()
	c := a.flows[purpose]
	a.mu.RUnlock()
	if c != nil {
		return c
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flows[purpose] == nil {
		a.flows[purpose] = &counters{}
	}
	return a.flows[purpose]
}

// Send counts a message of a number of bytes.
func (a *Account) Send(purpose string, bytes int) {
	if a == nil {
		return
	}
	c := a.of(purpose)
	c.messages.Add(1)
	c.sent.Add(int64(bytes))
	a.uplink.add(time.Now(), bytes)
}

// Receive counts received bytes.
func (a *Account) Receive(purpose string, bytes int) {
	if a == nil {
		return
	}
	a.of(purpose).received.Add(int64(bytes))
}

// Backlog returns the time until what was sent so far has left the VM by its link.
func (a *Account) Backlog() time.Duration {
	if a == nil {
		return 0
	}
	return a.uplink.backlog(time.Now())
}

// Flows returns the sums since the start, the largest first.
func (a *Account) Flows() []Flow {
	if a == nil {
		return nil
	}
	a.mu.RLock()
	defer a.mu.RUnlock()
	flows := make([]Flow, 0, len(a.flows))
	for purpose, c := range a.flows {
		flows = append(flows, Flow{Purpose: purpose, Messages: c.messages.Load(), Sent: c.sent.Load(), Received: c.received.Load()})
	}
	slices.SortFunc(flows, func(x, y Flow) int {
		if d := cmp.Compare(y.Sent+y.Received, x.Sent+x.Received); d != 0 {
			return d
		}
		return cmp.Compare(x.Purpose, y.Purpose)
	})
	return flows
}

// WriteMetrics writes the sums in the text format of Prometheus.
func (a *Account) WriteMetrics(w io.Writer) {
	for _, f := range a.Flows() {
		metrics.WriteCounterUint64(w, fmt.Sprintf("samphireplank_messages_sent_total{purpose=%q}", f.Purpose), uint64(f.Messages))
		metrics.WriteCounterUint64(w, fmt.Sprintf("samphireplank_bytes_sent_total{purpose=%q}", f.Purpose), uint64(f.Sent))
		metrics.WriteCounterUint64(w, fmt.Sprintf("samphireplank_bytes_received_total{purpose=%q}", f.Purpose), uint64(f.Received))
	}
}

// Conn counts the bytes of a connection for one purpose.
type Conn struct {
	net.Conn
	Account *Account
	Purpose string
}

// Read reads and counts.
func (c Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.Account.Receive(c.Purpose, n)
	return n, err
}

// Write writes and counts.
func (c Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.Account.Send(c.Purpose, n)
	return n, err
}
