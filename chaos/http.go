package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxBody bounds the answers that are read, in bytes.
const maxBody = 4 << 20

// httpClient calls the processes of the run.
type httpClient struct{ client *http.Client }

func newHTTPClient() *httpClient {
	// Connections are not kept, since many of the processes are killed.
	return &httpClient{&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call returns the body of an answer with status 200; content is sent as JSON unless it is nil.
func (h *httpClient) call(ctx context.Context, method, url string, content any) ([]byte, error) {
	var body io.Reader
	if content != nil {
		data, err := json.Marshal(content)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s %s: status %d: %.200s", method, url, response.StatusCode, data)
	}
	return data, nil
}

// await returns when the URL answers 200.
func (h *httpClient) await(ctx context.Context, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		_, err := h.call(ctx, http.MethodGet, url, nil)
		if err == nil {
			return nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return fmt.Errorf("no answer from %s in %v: %w", url, timeout, err)
		}
	}
}

// sleep returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
