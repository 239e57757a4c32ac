package gateway

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/traffic"
	"samphireplank.example/samphireplank/worker"
)

// Settings are the settings of a VM.
type Settings struct {
	VM                 string
	Zone               string
	CallerAddress      string // host:port for callers
	ReadyAddress       string // host:port of the readiness check
	PeerAddress        string // host:port for other VMs
	MetricsAddress     string // host:port of the metrics
	StoreAddress       string
	LeaseDuration      time.Duration // maximum lease of a worker
	StopGrace          time.Duration // from the stop signal to the kill
	EndedJobRetention  time.Duration // how long the state of an ended job can be read
	ClientRetryDelay   time.Duration // after which a client sends an unanswered job again
	Seeds              []string      // peer addresses of VMs to request a copy from while the store is unavailable
	CPUShare           float64       // processor share of the VM
	LinkBytesPerSecond float64       // bandwidth of the VM's link, 0 if unknown
	MemoryBytes        int64         // memory limit of the VM, 0 if unknown
	MaxDescriptors     int           // limit of open file descriptors, 0 if unknown
	ClientShare        float64       // largest share of one client address in connections and body memory, 0 for the default
}

// Route selects requests by host and path prefix and defines how their jobs are run.
type Route struct {
	Host   string
	Prefix string
	Policy job.Policy
}

// Configuration is the configuration published by the operators.
type Configuration struct {
	Version        int64
	Routes         []Route
	MaxBodyBytes   int           // 0 for the default
	MaxHeaderBytes int           // 0 for the default
	HeaderTimeout  time.Duration // 0 for the default
	IdleTimeout    time.Duration // 0 for the default
}

// FindRoute returns the route with the host and the longest prefix of the path.
func (c *Configuration) FindRoute(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range c.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// Decoder decodes the formats of the platform.
type Decoder interface {
	// OperatorPrefix returns the prefix of the keys that operators write: ConfigurationKey and those of EvacuatedZone. Other keys with
	// the prefix are ignored.
	OperatorPrefix() string
	ConfigurationKey() string
	// EvacuatedZone returns the zone that a key evacuates; false means that the key evacuates none.
	EvacuatedZone(key string) (zone string, ok bool)
	WorkerPrefix() string
	DecodeConfiguration(value []byte) (Configuration, error)
	DecodeWorker(key string, value []byte) (worker.Worker, error)
	DecodeWork(id string, body []byte) (job.Work, error)
}

// Config configures a Gateway.
type Config struct {
	Settings       Settings
	Store          store.KV
	Workers        worker.Client
	Decoder        Decoder
	NewHandler     HandlerFactory
	PlacementRules placement.Rules
	ClaimRules     claim.Rules
	NoInterference bool           // holders do not learn which tasks slow each other down on one worker
	Traffic        *traffic.Meter // may be nil
	Log            zerolog.Logger
	// Clock returns a reading of a clock that includes the time of suspension; nil stands for that of the system.
	Clock func() time.Duration
	// Listen opens a listener on a host:port; nil stands for TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection to the peer address of another VM; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// withDefaults returns the configuration with the clock and the listeners of the system where none are set.
func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = bootClock
	}
	if c.Listen == nil {
		c.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp4", address) }
	}
	return c
}
