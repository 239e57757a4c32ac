package chaos

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// relayBuffer is the size in bytes of the chunks that a relay passes on.
const relayBuffer = 32 << 10

// relay stands in front of the link listener of one entry VM and applies the faults between zones.
type relay struct {
	zone     string // of the entry VM behind it
	target   string // host:port of the link listener
	zoneOf   func(net.Conn) string
	links    *links
	listener net.Listener
	group    errgroup.Group
	ctx      context.Context
	cancel   context.CancelFunc
}

// startRelay listens on an address and passes connections on to the target.
func startRelay(address, target, zone string, links *links, zoneOf func(net.Conn) string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("relay of links: %w", err)
	}
	r := &relay{zone: zone, target: target, zoneOf: zoneOf, links: links, listener: listener}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.group.Go(r.accept)
	return r, nil
}

func (r *relay) accept() error {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return nil
		}
		r.group.Go(func() error {
			r.serve(conn)
			return nil
		})
	}
}

// stop closes the listener and all connections.
func (r *relay) stop() {
	r.cancel()
	_ = r.listener.Close()
	_ = r.group.Wait()
}

func (r *relay) serve(near net.Conn) {
	defer near.Close()
	from := r.zoneOf(near)
	if from == "" {
		return // its process is gone
	}
	forth, back := direction{from, r.zone}, direction{r.zone, from}
	if !r.links.pass(r.ctx, forth) {
		return
	}
	far, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	ctx, cancel := context.WithCancel(r.ctx)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		return r.copy(ctx, far, near, forth)
	})
	group.Go(func() error {
		defer cancel()
		return r.copy(ctx, near, far, back)
	})
	if forth.from != forth.to {
		group.Go(func() error {
			defer cancel()
			r.links.awaitRefusal(ctx, forth)
			return nil
		})
	}
	<-ctx.Done()
	_ = near.Close()
	_ = far.Close()
	_ = group.Wait()
}

// copy passes bytes on in one direction. Held bytes are delivered after the cut, as TCP would retransmit them.
func (r *relay) copy(ctx context.Context, to, from net.Conn, d direction) error {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if !r.links.pass(ctx, d) {
			return nil
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return writeErr
		}
		if err != nil {
			return err
		}
	}
}
