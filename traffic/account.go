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

// PurposeTotals is the traffic of one purpose since the start of the process.
type PurposeTotals struct {
	Purpose       string
	MessagesSent  int64
	BytesSent     int64 // payload without the headers of TCP and IP
	BytesReceived int64 // payload, as for BytesSent
}

// Meter counts the traffic of a process by purpose. It is safe for concurrent use; a nil Meter counts nothing.
type Meter struct {
	mu        sync.RWMutex
	byPurpose map[string]*counters
	linkQueue linkQueue
}

// MeterConfig configures a Meter.
type MeterConfig struct {
	LinkBytesPerSecond float64 // bandwidth of the VM's link, 0 if unknown
}

type counters struct{ messages, sent, received atomic.Int64 }

// NewMeter returns a Meter with all counts at 0.
func NewMeter(config MeterConfig) *Meter {
	return &Meter{byPurpose: map[string]*counters{}, linkQueue: linkQueue{rate: config.LinkBytesPerSecond}}
}

// counterFor returns the counters of a purpose and creates them on first use.
func (m *Meter) counterFor(purpose string) *counters {
	m.mu.RLock()
	c := m.byPurpose[purpose]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byPurpose[purpose] == nil {
		m.byPurpose[purpose] = &counters{}
	}
	return m.byPurpose[purpose]
}

// CountSent counts a sent message and its size in bytes.
func (m *Meter) CountSent(purpose string, bytes int) {
	if m == nil {
		return
	}
	c := m.counterFor(purpose)
	c.messages.Add(1)
	c.sent.Add(int64(bytes))
	m.linkQueue.add(time.Now(), bytes)
}

// CountReceived counts received bytes.
func (m *Meter) CountReceived(purpose string, bytes int) {
	if m == nil {
		return
	}
	m.counterFor(purpose).received.Add(int64(bytes))
}

// SendDelay returns the estimated time until all data sent so far has left the VM over its link.
func (m *Meter) SendDelay() time.Duration {
	if m == nil {
		return 0
	}
	return m.linkQueue.delay(time.Now())
}

// Totals returns the totals by purpose, sorted by sent and received bytes, largest first.
func (m *Meter) Totals() []PurposeTotals {
	if m == nil {
		return nil
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	totals := make([]PurposeTotals, 0, len(m.byPurpose))
	for purpose, c := range m.byPurpose {
		totals = append(totals, PurposeTotals{Purpose: purpose, MessagesSent: c.messages.Load(), BytesSent: c.sent.Load(), BytesReceived: c.received.Load()})
	}
	slices.SortFunc(totals, func(x, y PurposeTotals) int {
		if d := cmp.Compare(y.BytesSent+y.BytesReceived, x.BytesSent+x.BytesReceived); d != 0 {
			return d
		}
		return cmp.Compare(x.Purpose, y.Purpose)
	})
	return totals
}

// WriteMetrics writes the totals in the Prometheus text format.
func (m *Meter) WriteMetrics(w io.Writer) {
	for _, f := range m.Totals() {
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

// Read reads into b and counts the bytes.
func (c MeteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.Meter.CountReceived(c.Purpose, n)
	return n, err
}

// Write writes b and counts it as one message.
func (c MeteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.Meter.CountSent(c.Purpose, n)
	return n, err
}
