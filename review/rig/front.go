package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	storeTime = 4 * time.Millisecond // that the store takes for an answer
	pageItems = 500
	pageBytes = 1 << 20
)

// storeFront stands before the stand-in of the store, whose pages are smaller than those of the users' store and which takes no time.
type storeFront struct {
	target string
	server *http.Server
	proxy  *httputil.ReverseProxy
	delay  atomic.Int64
}

func newStoreFront(target string) (*storeFront, net.Listener, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	f := &storeFront{target: target, proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})}
	f.proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	f.proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) } // no answer
	f.delay.Store(int64(storeTime))
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: time.Minute}
	return f, l, nil
}

func (f *storeFront) serve(l net.Listener) error {
	if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP passes a call on, and joins the pages of a range.
func (f *storeFront) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	time.Sleep(time.Duration(f.delay.Load()))
	if q.URL.Path != "/v1/kv-range" {
		f.proxy.ServeHTTP(rw, q)
		return
	}
	type page struct {
		Items    []json.RawMessage `json:"items"`
		HasMore  bool              `json:"has_more"`
		Revision int64             `json:"store_revision"`
	}
	joined, size, after := page{Items: []json.RawMessage{}}, 0, q.URL.Query().Get("after")
	for {
		query := url.Values{"prefix": {q.URL.Query().Get("prefix")}, "after": {after}}
		call, err := http.NewRequestWithContext(q.Context(), http.MethodGet, "http://"+f.target+"/v1/kv-range?"+query.Encode(), nil)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		a, err := f.proxy.Transport.RoundTrip(call)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		var p page
		err = json.NewDecoder(a.Body).Decode(&p)
		_ = a.Body.Close()
		if a.StatusCode != http.StatusOK || err != nil {
			rw.WriteHeader(a.StatusCode)
			return
		}
		if joined.Revision == 0 {
			joined.Revision = p.Revision
		}
		joined.Items, joined.HasMore = append(joined.Items, p.Items...), p.HasMore
		for _, i := range p.Items {
			size += len(i)
		}
		if !p.HasMore || len(p.Items) == 0 || len(joined.Items) >= pageItems || size >= pageBytes {
			write(rw, http.StatusOK, joined)
			return
		}
		var last struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal(p.Items[len(p.Items)-1], &last); err != nil {
			panic(http.ErrAbortHandler)
		}
		after = last.Key
	}
}
