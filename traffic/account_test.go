package traffic

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against counts that mix purposes or directions, and against a panic with a nil Meter.
func TestMeter(t *testing.T) {
	is := is.New(t)
	m := NewMeter(MeterConfig{})
	m.CountSent("start", 900)
	m.CountSent("start", 1100)
	m.CountReceived("watch", 5000)
	is.Equal(m.Totals(), []PurposeTotals{{Purpose: "watch", BytesReceived: 5000}, {Purpose: "start", MessagesSent: 2, BytesSent: 2000}})
	var b bytes.Buffer
	m.WriteMetrics(&b)
	is.True(bytes.Contains(b.Bytes(), []byte("samphireplank_bytes_sent_total{purpose=\"start\"} 2000\n")))
	var none *Meter
	none.CountSent("start", 1)
	none.CountReceived("start", 1)
	is.Equal(len(none.Totals()), 0)
}

// Guards against timeouts that expire while a request is still queued on the VM's own link.
func TestLinkQueue(t *testing.T) {
	is := is.New(t)
	q := linkQueue{rate: 250_000}
	now := time.Unix(1_700_000_000, 0)
	for range 8 {
		q.add(now, 1250-perMessageOverhead)
	}
	is.Equal(q.delay(now).Round(time.Millisecond), 40*time.Millisecond) // 10,000 bytes at 250,000 bytes per second
	is.Equal(q.delay(now.Add(30*time.Millisecond)).Round(time.Millisecond), 10*time.Millisecond)
	is.Equal(q.delay(now.Add(time.Second)), time.Duration(0))
	q.add(now, 10_000_000)
	is.Equal(q.delay(now), maxQueueDelay)
	unknown := linkQueue{}
	unknown.add(now, 10_000)
	is.Equal(unknown.delay(now), time.Duration(0))
}
