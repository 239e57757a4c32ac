package entry

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"

	"samphireplank.example/samphireplank/link"
	"samphireplank.example/samphireplank/store"
)

// meteredConn counts the bytes of a connection of the peer link, without TCP and IP.
type meteredConn struct {
	net.Conn
	sent, received *metrics.Counter
}

// Read counts the bytes received.
func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(n)
	return n, err
}

// Write counts the bytes sent.
func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(n)
	return n, err
}

func (m *metricSet) meter(conn net.Conn) net.Conn {
	return meteredConn{Conn: conn, sent: m.linkSent, received: m.linkReceived}
}

// meteredListener counts the bytes of the connections that peers open.
type meteredListener struct {
	net.Listener
	metrics *metricSet
}

// Accept returns the next connection of a peer.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.metrics.meter(conn), nil
}

// dialLink opens a metered connection to a peer.
func (m *metricSet) dialLink(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: link.DefaultDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return m.meter(conn), nil
}

// meteredStore counts the calls to the platform's key-value service; an entry VM makes no writes.
type meteredStore struct {
	store.Store
	metrics *metricSet
}

// Get counts a read.
func (s meteredStore) Get(ctx context.Context, key string) (store.VersionedValue, error) {
	s.metrics.platformReads.Inc()
	return s.Store.Get(ctx, key)
}

// Watch counts a watch.
func (s meteredStore) Watch(ctx context.Context, key string, version uint64) (store.VersionedValue, error) {
	s.metrics.platformWatches.Inc()
	return s.Store.Watch(ctx, key, version)
}

// meteredDirectory counts the calls for the platform's list.
type meteredDirectory struct {
	store.Directory
	metrics *metricSet
}

// VMs counts a call for the list.
func (d meteredDirectory) VMs(ctx context.Context, version uint64) (store.VMList, error) {
	d.metrics.platformLists.Inc()
	return d.Directory.VMs(ctx, version)
}

// meteredRegistrar counts registrations.
type meteredRegistrar struct {
	Registrar
	metrics *metricSet
}

// Register counts a registration.
func (r meteredRegistrar) Register(ctx context.Context, vm store.VM) error {
	r.metrics.platformRegistrations.Inc()
	return r.Registrar.Register(ctx, vm)
}

// meterPlatform returns the settings with counted calls to the platform.
func (m *metricSet) meterPlatform(config Config) Config {
	config.Store = meteredStore{config.Store, m}
	config.Directory = meteredDirectory{config.Directory, m}
	if config.Registrar != nil {
		config.Registrar = meteredRegistrar{config.Registrar, m}
	}
	return config
}
