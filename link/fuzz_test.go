package link

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"

	"samphireplank.example/samphireplank/link/linkpb"
)

// Guards against malformed messages that crash the server, and fields that change in transit.
func FuzzExchange(f *testing.F) {
	for _, batch := range []*linkpb.Batch{{}, idleReport(), busyReport()} {
		seed, err := proto.Marshal(batch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
		f.Add(seed[:len(seed)/2])
	}
	handler := NewServer(ServerConfig{Handler: &fakeHandler{}, MaxMessageSize: 1 << 16}).http.Handler
	f.Fuzz(func(t *testing.T, data []byte) {
		r := httptest.NewRequest(http.MethodPost, linkpb.LinkExchangeProcedure, bytes.NewReader(data))
		r.Header.Set("Content-Type", "application/proto")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		var sent, got linkpb.Batch
		valid := proto.Unmarshal(data, &sent) == nil && len(data) <= 1<<16
		if (w.Code == http.StatusOK) != valid {
			t.Fatalf("status %d for %x", w.Code, data)
		}
		if !valid {
			return
		}
		if err := proto.Unmarshal(w.Body.Bytes(), &got); err != nil || !proto.Equal(&sent, &got) {
			t.Fatalf("%v: %x became %x", err, data, w.Body.Bytes())
		}
	})
}
