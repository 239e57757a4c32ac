package link

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// sentFlag records whether a connection was used for a call.
type sentFlag struct{ used atomic.Bool }

func (m *sentFlag) get() bool { return m.used.Load() }

type sentKey struct{}

// noRetryTransport sends each request at most once. Without it, net/http repeats an HTTP/2 request when the peer resets
// the stream as refused or closes the connection with GOAWAY, because connect gives every unary request a GetBody. A
// peer that is shutting down or faulty may have run the submission by then.
type noRetryTransport struct{ next http.RoundTripper }

// RoundTrip removes GetBody from the request, so that net/http can't repeat the request after the first byte of its
// body.
func (t noRetryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	if mark, ok := ctx.Value(sentKey{}).(*sentFlag); ok {
		ctx = traceSent(ctx, mark)
	}
	once := r.WithContext(ctx)
	once.GetBody = nil
	if r.Body != nil {
		once.Body = nonReplayableBody{r.Body} // differs from http.NoBody, with which net/http would repeat the request
	}
	return t.next.RoundTrip(once)
}

func traceSent(ctx context.Context, mark *sentFlag) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { mark.used.Store(true) },
	})
}

type nonReplayableBody struct{ io.ReadCloser }
