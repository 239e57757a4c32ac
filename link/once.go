package link

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// sentMark records whether a connection was used for a call.
type sentMark struct{ used atomic.Bool }

func (m *sentMark) get() bool { return m.used.Load() }

type sentKey struct{}

// onceTransport sends each request at most once. Without it, net/http sends a request again over HTTP/2 when the peer
// resets the stream as refused or closes the connection with GOAWAY, because connect gives every unary request a
// GetBody. A peer that is stopping or broken may have run the submission by then.
type onceTransport struct{ next http.RoundTripper }

// RoundTrip hides how to read the body a second time, so that net/http can't send it again after the first byte.
func (t onceTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	if mark, ok := ctx.Value(sentKey{}).(*sentMark); ok {
		ctx = markWhenSent(ctx, mark)
	}
	once := r.WithContext(ctx)
	once.GetBody = nil
	if r.Body != nil {
		once.Body = onceBody{r.Body} // of another type than http.NoBody, which net/http would send again
	}
	return t.next.RoundTrip(once)
}

func markWhenSent(ctx context.Context, mark *sentMark) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { mark.used.Store(true) },
	})
}

type onceBody struct{ io.ReadCloser }
