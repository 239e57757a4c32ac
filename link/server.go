package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"samphireplank.example/samphireplank/link/linkpb"
)

// DefaultMaxMessageSize is the largest message in bytes when a configuration leaves it zero; it leaves room for the
// answer of a job with many large results.
const DefaultMaxMessageSize = 32 << 20

// compressMin is the size in bytes from which answers are compressed: sets and tables are, control messages are not.
const compressMin = 16 << 10

// headerTimeout bounds the time in which a peer sends the headers of a request.
const headerTimeout = 5 * time.Second

// Bounds of one connection. Forwards wait for their answers, so many are in progress at a time; net/http allows 250,
// beyond which a peer would open further connections.
const (
	maxStreams       = 4096
	connectionBuffer = 8 << 20 // bytes of requests that were not read yet
)

// Handler answers the requests of peers; its methods are called from many goroutines.
type Handler interface {
	// Exchange takes a batch of a peer and returns the batch for it.
	Exchange(ctx context.Context, batch *linkpb.Batch) (*linkpb.Batch, error)
	// Forward runs a submission and returns its answer; an error leaves open whether a task was started.
	Forward(ctx context.Context, r *linkpb.ForwardRequest) (*linkpb.Answer, error)
	// Lookup returns the answer of an id that has its home here.
	Lookup(ctx context.Context, r *linkpb.LookupRequest) (*linkpb.Answer, error)
	// Cancel withdraws an id that has its home here and returns the answer as far as it is known.
	Cancel(ctx context.Context, r *linkpb.CancelRequest) (*linkpb.Answer, error)
	// State returns the parts of the state that were asked for.
	State(ctx context.Context, r *linkpb.StateRequest) (*linkpb.StateResponse, error)
}

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	Handler        Handler
	MaxMessageSize int // bytes of a request
}

// Server answers peers.
type Server struct{ http *http.Server }

// NewServer returns a server that doesn't listen yet.
func NewServer(config ServerConfig) *Server {
	if config.MaxMessageSize <= 0 {
		config.MaxMessageSize = DefaultMaxMessageSize
	}
	mux := http.NewServeMux()
	mux.Handle(linkpb.NewLinkHandler(config.Handler,
		connect.WithReadMaxBytes(config.MaxMessageSize), connect.WithCompressMinBytes(compressMin)))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{http: &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: connectionBuffer},
	}}
}

// Serve answers peers on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops listening and waits for the requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close ends all connections at once.
func (s *Server) Close() error { return s.http.Close() }
