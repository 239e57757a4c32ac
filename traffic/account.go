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

// PurposeTotals is what was exchanged for one purpose.
type PurposeTotals struct {
	Purpose       string
	MessagesSent  int64 // sent
	BytesSent     int64 // bytes of payload, without those of TCP and IP
	BytesReceived int64 // bytes
}

// Meter sums up the traffic of a process by purpose; a nil Meter counts nothing.
type Meter struct {
	mu     sync.RWMutex
	flows  map[string]*counters
	uplink uplink
}

// MeterConfig configures a Meter.
type MeterConfig struct {
	LinkBytesPerSecond float64 // of the VM's link in bytes a second, 0 if it is not known
}

type counters struct{ messages, sent, received atomic.Int64 }

// NewMeter returns a Meter without traffic.
func NewMeter(config MeterConfig) *Meter {
	return &Meter{flows: map[string]*counters{}, uplink: uplink{rate: config.LinkBytesPerSecond}}
}

func (a *Meter) of(purpose string) *counters {
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

// CountSent counts a message of a number of bytes.
func (a *Meter) CountSent(purpose string, bytes int) {
	if a == nil {
		return
	}
	c := a.of(purpose)
	c.messages.Add(1)
	c.sent.Add(int64(bytes))
	a.uplink.add(time.Now(), bytes)
}

// CountReceived counts received bytes.
func (a *Meter) CountReceived(purpose string, bytes int) {
	if a == nil {
		return
	}
	a.of(purpose).received.Add(int64(bytes))
}

// SendDelay returns the time until what was sent so far has left the VM by its link.
func (a *Meter) SendDelay() time.Duration {
	if a == nil {
		return 0
	}
	return a.uplink.backlog(time.Now())
}

// Totals returns the sums since the start, the largest first.
func (a *Meter) Totals() []PurposeTotals {
	if a == nil {
		return nil
	}
	a.mu.RLock()
	defer a.mu.RUnlock()
	flows := make([]PurposeTotals, 0, len(a.flows))
	for purpose, c := range a.flows {
		flows = append(flows, PurposeTotals{Purpose: purpose, MessagesSent: c.messages.Load(), BytesSent: c.sent.Load(), BytesReceived: c.received.Load()})
	}
	slices.SortFunc(flows, func(x, y PurposeTotals) int {
		if d := cmp.Compare(y.BytesSent+y.BytesReceived, x.BytesSent+x.BytesReceived); d != 0 {
			return d
		}
		return cmp.Compare(x.Purpose, y.Purpose)
	})
	return flows
}

// WriteMetrics writes the sums in the text format of Prometheus.
func (a *Meter) WriteMetrics(w io.Writer) {
	for _, f := range a.Totals() {
		metrics.WriteCounterUint64(w, fmt.Sprintf("samphireplank_messages_sent_total{purpose=%q}", f.Purpose), uint64(f.MessagesSent))
		metrics.WriteCounterUint64(w, fmt.Sprintf("samphireplank_bytes_sent_total{purpose=%q}", f.Purpose), uint64(f.BytesSent))
		metrics.WriteCounterUint64(w, fmt.Sprintf("samphireplank_bytes_received_total{purpose=%q}", f.Purpose), uint64(f.BytesReceived))
	}
}

// MeteredConn counts the bytes of a connection for one purpose.
type MeteredConn struct {
	net.Conn
	Meter   *Meter
	Purpose string
}

// Read reads and counts.
func (c MeteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.Meter.CountReceived(c.Purpose, n)
	return n, err
}

// Write writes and counts.
func (c MeteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.Meter.CountSent(c.Purpose, n)
	return n, err
}
