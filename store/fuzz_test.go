package store

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
)

// Guards against answers that crash the client, and against a write that is taken for one without effect.
func FuzzReadAnswer(f *testing.F) {
	f.Add(200, "1", "", []byte("value"))
	f.Add(503, "", "true", []byte("unavailable"))
	f.Add(304, "18446744073709551616", "", []byte(`{"version":1,"vms":[{"id":"a","address":"b"}]}`))
	f.Fuzz(func(t *testing.T, status int, version, noEffect string, body []byte) {
		for _, method := range []string{http.MethodGet, http.MethodPut} {
			response := &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}
			response.Header.Set(HeaderVersion, version)
			response.Header.Set(HeaderNoEffect, noEffect)
			a, err := readAnswer(response, call{method: method})
			if err == nil && status != http.StatusOK && status != http.StatusNotModified {
				t.Fatalf("status %d is taken for success", status)
			}
			if method == http.MethodPut && status/100 == 5 && noEffect != "true" && !errors.Is(err, ErrUncertain) {
				t.Fatalf("status %d: %v", status, err)
			}
			if _, err := a.value("key"); err == nil && a.version == 0 {
				t.Fatal("value without a version")
			}
		}
		if list, err := readList(body); err == nil {
			for _, vm := range list.VMs {
				if vm.ID == "" || vm.Address == "" {
					t.Fatalf("VM %+v", vm)
				}
			}
		}
	})
}
