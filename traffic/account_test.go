package traffic

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against counts that mix purposes or directions, and against a crash without an account.
func TestAccount(t *testing.T) {
	is := is.New(t)
	a := NewMeter(MeterConfig{})
	a.CountSent("start", 900)
	a.CountSent("start", 1100)
	a.CountReceived("watch", 5000)
	is.Equal(a.Totals(), []PurposeTotals{{Purpose: "watch", BytesReceived: 5000}, {Purpose: "start", MessagesSent: 2, BytesSent: 2000}})
	var b bytes.Buffer
	a.WriteMetrics(&b)
	is.True(bytes.Contains(b.Bytes(), []byte("samphireplank_bytes_sent_total{purpose=\"start\"} 2000\n")))
	var none *Meter
	none.CountSent("start", 1)
	none.CountReceived("start", 1)
	is.Equal(len(none.Totals()), 0)
}

// Guards against time-outs that end while a request is still queued on the VM's own link.
func TestUplink(t *testing.T) {
	is := is.New(t)
	u := uplink{rate: 250_000}
	now := time.Unix(1_700_000_000, 0)
	for range 8 {
		u.add(now, 1250-packetBytes)
	}
	is.Equal(u.backlog(now).Round(time.Millisecond), 40*time.Millisecond) // 10,000 bytes at 250,000 a second
	is.Equal(u.backlog(now.Add(30*time.Millisecond)).Round(time.Millisecond), 10*time.Millisecond)
	is.Equal(u.backlog(now.Add(time.Second)), time.Duration(0))
	u.add(now, 10_000_000)
	is.Equal(u.backlog(now), maxBacklog)
	unknown := uplink{}
	unknown.add(now, 10_000)
	is.Equal(unknown.backlog(now), time.Duration(0))
}
