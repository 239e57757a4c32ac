package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync/atomic"
	"time"
)

// A machine that is cut off: the bytes of its channels to other machines, to the store and to clients are held back until the
// cut is over.

var nodeName = regexp.MustCompile(`front-z-[abc]-\d`)

// passLinks forwards the channels that other machines open to a node, through the gates of both.
func (l *lab) passLinks(n *node) error {
	listener, err := net.Listen("tcp4", n.link+":7720")
	if err != nil {
		return err
	}
	l.background(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			l.background(func() { l.passLink(n, near) })
		}
	})
	return nil
}

func (l *lab) passLink(n *node, near net.Conn) {
	n.gate.await()
	far, err := net.Dial("tcp4", n.host+":7720")
	if err != nil {
		_ = near.Close()
		return
	}
	var from atomic.Pointer[node]
	pass := func(to, of net.Conn, forth bool) {
		buffer := make([]byte, 32<<10)
		for {
			count, err := of.Read(buffer)
			if forth && from.Load() == nil {
				from.Store(l.nodeNamed(string(nodeName.Find(buffer[:count]))))
			}
			n.gate.await()
			if other := from.Load(); other != nil {
				other.gate.await()
			}
			if _, failed := to.Write(buffer[:count]); err != nil || failed != nil {
				break
			}
		}
		_, _ = near.Close(), far.Close()
	}
	l.background(func() { pass(far, near, true) })
	pass(near, far, false)
}

func (l *lab) nodeNamed(name string) *node {
	for _, n := range l.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// firstResend is the time after which the kernel sends a segment again that isn't confirmed; it doubles each time.
const firstResend = 200 * time.Millisecond

// passClient forwards one channel of a client to a node through its gate. The end of the channel reaches the node when the
// client's kernel sends it again for the first time after the cut.
func (l *lab) passClient(n *node, near net.Conn) {
	far, err := net.Dial("tcp4", n.host+":8161")
	if err != nil {
		_ = near.Close()
		return
	}
	l.background(func() {
		_, _ = io.Copy(near, gatedConn{far, n.gate})
		_ = near.Close()
	})
	_, _ = io.Copy(gatedConn{far, n.gate}, near)
	closed := time.Now()
	n.gate.await()
	for due, wait := closed, firstResend; ; due, wait = due.Add(wait), 2*wait {
		if time.Since(due) < 0 {
			time.Sleep(time.Until(due))
			break
		}
	}
	l.printf("%s sees the end of a client's channel", n.name)
	_ = far.Close()
}

// connect prepares the addresses of a node: gates if machines can be cut off.
func (l *lab) connect(n *node, number int) error {
	n.storeAt = l.storeAddress
	if !l.cuts {
		return nil
	}
	l.store.translate = l.linkAddresses
	if err := l.passStore(n, number); err != nil {
		return err
	}
	return l.passLinks(n)
}

// passStore serves the store at an address of its own for a node, through its gate.
func (l *lab) passStore(n *node, number int) error {
	n.storeAt = l.hostOf(8, 10+number) + ":8169"
	listener, err := net.Listen("tcp4", n.storeAt)
	if err != nil {
		return err
	}
	l.background(func() { _ = http.Serve(gatedListener{listener, n.gate}, l.store) })
	return nil
}

// linkAddresses puts the address at which other machines reach a node in place of its own in what it writes to the store.
func (l *lab) linkAddresses(value []byte) []byte {
	for _, n := range l.nodes {
		value = bytes.ReplaceAll(value, []byte(`"`+n.host+`:7720"`), []byte(`"`+n.link+`:7720"`))
	}
	return value
}
