package link

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/link/linkpb"
)

// HTTP/2 frame types, flags and error codes used by disowningPeer.
const (
	frameData     = 0
	frameHeaders  = 1
	frameReset    = 3
	frameSettings = 4
	framePing     = 6
	frameGoAway   = 7
	flagEnd       = 1
	flagAck       = 1
	codeRefused   = 7
)

func writeFrame(w io.Writer, kind, flags byte, stream uint32, payload []byte) {
	frame := make([]byte, 9, 9+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload))<<8|uint32(kind))
	frame[4] = flags
	binary.BigEndian.PutUint32(frame[5:], stream)
	_, _ = w.Write(append(frame, payload...))
}

// disowningPeer reads and counts each request completely and then reports it as not processed.
type disowningPeer struct {
	goAway   bool // closes the connection with GOAWAY instead of resetting the stream
	requests atomic.Int32
	second   chan struct{} // closed on the second request
}

func (p *disowningPeer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	preface := make([]byte, 24)
	if _, err := io.ReadFull(c, preface); err != nil {
		return
	}
	writeFrame(c, frameSettings, 0, 0, nil)
	head := make([]byte, 9)
	for {
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		payload := make([]byte, binary.BigEndian.Uint32(head)>>8)
		if _, err := io.ReadFull(c, payload); err != nil {
			return
		}
		kind, flags, stream := head[3], head[4], binary.BigEndian.Uint32(head[5:])
		switch {
		case kind == frameSettings && flags&flagAck == 0:
			writeFrame(c, frameSettings, flagAck, 0, nil)
		case kind == framePing && flags&flagAck == 0:
			writeFrame(c, framePing, flagAck, 0, payload)
		case (kind == frameData || kind == frameHeaders) && flags&flagEnd != 0:
			if p.requests.Add(1) == 2 {
				close(p.second)
			}
			if p.goAway {
				writeFrame(c, frameGoAway, 0, 0, make([]byte, 8)) // last stream 0: nothing was processed
				return
			}
			writeFrame(c, frameReset, 0, stream, []byte{0, 0, 0, codeRefused})
		}
	}
}

func (p *disowningPeer) start(t *testing.T) string {
	t.Helper()
	p.second = make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			stop := context.AfterFunc(t.Context(), func() { _ = c.Close() }) // the client may keep the connection open
			group.Go(func() { p.serve(c); stop() })
		}
	})
	t.Cleanup(func() { // runs after the context of the test has ended
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// Guards against a forward that net/http repeats after the peer has read it. The plain client shows that net/http does
// so without noRetryTransport.
func TestForwardIsSentOnce(t *testing.T) {
	for name, goAway := range map[string]bool{"stream refused": false, "connection going away": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &disowningPeer{goAway: goAway}
			address := p.start(t)
			c := testClient(t, ClientConfig{})
			_, err := c.Forward(t.Context(), address, testForward([]byte("x")))
			is.True(err.(*Error).MaybeSent)
			_, err = c.Forward(t.Context(), address, &linkpb.ForwardRequest{}) // an empty message
			is.True(err.(*Error).MaybeSent)
			is.Equal(p.requests.Load(), int32(2))
		})
		t.Run(name+", plain client", func(t *testing.T) {
			is := is.New(t)
			p := &disowningPeer{goAway: goAway}
			address := p.start(t)
			transport := NewClient(ClientConfig{}).transport(callPingInterval)
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithCancel(t.Context())
			plain := linkpb.NewLinkClient(&http.Client{Transport: transport}, "http://"+address)
			var group sync.WaitGroup
			group.Go(func() { <-p.second; cancel() })
			_, err := plain.Forward(ctx, testForward([]byte("x")))
			is.True(err != nil)
			group.Wait()
			is.True(p.requests.Load() >= 2)
		})
	}
}
