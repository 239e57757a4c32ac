package traffic

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// Guards against counts that mix purposes or directions, and against a crash without an account.
func TestAccount(t *testing.T) {
	is := is.New(t)
	a := NewAccount()
	a.Send("start", 900)
	a.Send("start", 1100)
	a.Receive("watch", 5000)
	is.Equal(a.Flows(), []Flow{{Purpose: "watch", Received: 5000}, {Purpose: "start", Messages: 2, Sent: 2000}})
	var b bytes.Buffer
	a.WriteMetrics(&b)
	is.True(bytes.Contains(b.Bytes(), []byte("samphireplank_bytes_sent_total{purpose=\"start\"} 2000\n")))
	var none *Account
	none.Send("start", 1)
	none.Receive("start", 1)
	is.Equal(len(none.Flows()), 0)
}
