package link

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"samphireplank.example/samphireplank/link/linkpb"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	read, written, connections atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.connections.Add(1)
	return &countingConn{Conn: c, listener: l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.read.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.written.Add(int64(n))
	return n, err
}

// idleReport is the report of an entry VM without demand; busyReport adds demand of 20 flows and slot messages.
func idleReport() *linkpb.Batch {
	return &linkpb.Batch{From: "entry-3", Incarnation: 1764826164123, Report: &linkpb.Report{
		TableHash: 0x123456789abcdef0, Generation: 1234, Digest: []byte("12345678"),
	}}
}

func busyReport() *linkpb.Batch {
	batch := idleReport()
	demand := &linkpb.Demand{Generation: 1234}
	for flow := range uint32(20) {
		demand.Flows = append(demand.Flows, 7*flow)
		demand.Queued = append(demand.Queued, 30*flow)
		demand.Running = append(demand.Running, flow)
	}
	batch.Services = []*linkpb.ServiceBatch{{
		Service: "blank-sorting", Demand: demand,
		Slots: []*linkpb.SlotMessage{
			{Body: &linkpb.SlotMessage_Renew{Renew: &linkpb.Renew{
				Epoch: 1764826164123 << 16, Sent: 3600000, Through: 123456, Held: 12, Sum: 1481472,
			}}},
			{Body: &linkpb.SlotMessage_Want{Want: &linkpb.Want{Sent: 3600000, Count: 12}}},
			{Body: &linkpb.SlotMessage_Lend{Lend: &linkpb.Lend{
				Epoch: 1764826164123 << 16, Wanted: 3600000, First: 123457,
				Groups: []*linkpb.Group{{Endpoint: "executor-17", Count: 1}, {Endpoint: "executor-23", Count: 1}},
			}}},
		},
	}}
	return batch
}

const measuredExchanges = 500

// wireBytes returns the mean bytes of a request and of its answer, including the overhead of HTTP/2.
func wireBytes(t testing.TB, batch, reply *linkpb.Batch) (request, answer float64) {
	t.Helper()
	var counter *countingListener
	h := &fakeHandler{exchange: func(*linkpb.Batch) *linkpb.Batch { return reply }}
	_, address := startServerOn(t, h, func(l net.Listener) net.Listener {
		counter = &countingListener{Listener: l}
		return counter
	})
	c := testClient(t, ClientConfig{})
	exchange := func() {
		if _, err := c.Exchange(t.Context(), address, batch); err != nil {
			t.Fatal(err)
		}
	}
	exchange() // opens the connection
	read, written := counter.read.Load(), counter.written.Load()
	for range measuredExchanges {
		exchange()
	}
	return float64(counter.read.Load()-read) / measuredExchanges, float64(counter.written.Load()-written) / measuredExchanges
}

// Guards against an entry VM that sends more than 8 KB/s of control traffic in a zone of 5 entry VMs. It sends 10
// reports/s to each of 4 peers and answers as many; the overhead of the link must leave room for reports of 150 bytes.
func TestControlBytesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	for name, batch := range map[string]*linkpb.Batch{"idle": idleReport(), "busy": busyReport()} {
		size := float64(proto.Size(batch))
		request, answer := wireBytes(t, batch, &linkpb.Batch{})
		t.Logf("%s: message %.0f bytes, request %.1f, answer %.1f, sent per second %.0f", name, size, request, answer, 40*(request+answer))
		is.True(request+answer-size <= ExchangeOverhead)
	}
	is.True(40*(150+ExchangeOverhead) <= 8000)
}

// Guards against more than two connections to a peer.
func TestConnectionsPerPeer(t *testing.T) {
	is := is.New(t)
	var counter *countingListener
	_, address := startServerOn(t, &fakeHandler{}, func(l net.Listener) net.Listener {
		counter = &countingListener{Listener: l}
		return counter
	})
	c := testClient(t, ClientConfig{})
	for range 20 {
		_, err := c.Exchange(t.Context(), address, idleReport())
		is.NoErr(err)
		_, err = c.Forward(t.Context(), address, testForward())
		is.NoErr(err)
	}
	is.Equal(counter.connections.Load(), int64(2))
}
