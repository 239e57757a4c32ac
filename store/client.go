package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of ClientConfig.
const (
	DefaultTimeout = 2 * time.Second
	DefaultWait    = 20 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Addresses []string      // host:port or URL of each platform server; the next one is tried when one fails
	Zone      string        // zone of the caller, sent with each call
	Timeout   time.Duration // of one call; DefaultTimeout if 0
	Wait      time.Duration // longest long poll asked for; DefaultWait if 0
}

// Client is a Store and a Directory over HTTP; docs/store.md describes the protocol.
//
//	client := store.NewClient(platform.ClientConfig{Addresses: []string{"127.0.0.1:7000"}})
//	value, err := client.Get(ctx, "samphireplank/head")
type Client struct {
	bases     []string
	zone      string
	timeout   time.Duration
	wait      time.Duration
	preferred atomic.Uint32 // index of the base that answered last
	http      *http.Client

	mu      sync.Mutex
	watched map[string]Value // last value of each watched key
}

// NewClient returns a Client; it connects when it is used.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{zone: cfg.Zone, timeout: cfg.Timeout, wait: cfg.Wait, watched: map[string]Value{}}
	for _, address := range cfg.Addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		c.bases = append(c.bases, strings.TrimSuffix(address, "/"))
	}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if c.wait <= 0 {
		c.wait = DefaultWait
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	transport.DialContext = (&net.Dialer{Timeout: c.timeout}).DialContext
	c.http = &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the value of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	a, err := c.do(ctx, call{method: http.MethodGet, path: keyPath(key)})
	if err != nil {
		return Value{}, fmt.Errorf("get key %q: %w", key, err)
	}
	return a.value(key)
}

// CompareAndSwap writes data if the key still has the version and returns the new version.
// Errors for which HadNoEffect is false leave open whether the write took effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
	if len(data) > MaxValueSize {
		return 0, fmt.Errorf("write key %q of %d bytes: %w", key, len(data), ErrValueTooLarge)
	}
	a, err := c.do(ctx, call{method: http.MethodPut, path: keyPath(key), version: version, body: data})
	if err != nil {
		return 0, fmt.Errorf("write key %q: %w", key, err)
	}
	if a.version <= version {
		return 0, fmt.Errorf("write key %q: answer has version %d after %d: %w", key, a.version, version, ErrUncertain)
	}
	return a.version, nil
}

// Delete removes a key if it still has the version; it returns ErrNotFound or ErrVersionMismatch.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	if _, err := c.do(ctx, call{method: http.MethodDelete, path: keyPath(key), version: version}); err != nil {
		return fmt.Errorf("delete key %q: %w", key, err)
	}
	return nil
}

// Watch waits until the key has another version; an unchanged value lacks its data only if ctx ends the first watch
// of that version.
func (c *Client) Watch(ctx context.Context, key string, version uint64) (Value, error) {
	a, err := c.do(ctx, call{method: http.MethodGet, path: keyPath(key), query: c.poll(version), wait: c.wait})
	switch {
	case ctx.Err() != nil:
		return c.unchanged(key, version), nil
	case errors.Is(err, ErrNotFound):
		return Value{}, nil
	case err != nil:
		return Value{}, fmt.Errorf("watch key %q: %w", key, err)
	case a.status == http.StatusNotModified:
		return c.refresh(ctx, key, version)
	}
	value, err := a.value(key)
	if err == nil {
		c.remember(key, value)
	}
	return value, err
}

// refresh returns an unchanged value, which the platform doesn't send again.
func (c *Client) refresh(ctx context.Context, key string, version uint64) (Value, error) {
	if value := c.unchanged(key, version); version == 0 || value.Data != nil {
		return value, nil
	}
	value, err := c.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Value{}, nil
	}
	if err == nil {
		c.remember(key, value)
	}
	return value, err
}

func (c *Client) unchanged(key string, version uint64) Value {
	c.mu.Lock()
	defer c.mu.Unlock()
	if value := c.watched[key]; value.Version == version {
		return Value{Data: bytes.Clone(value.Data), Version: version}
	}
	return Value{Version: version}
}

func (c *Client) remember(key string, value Value) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched[key] = Value{Data: bytes.Clone(value.Data), Version: value.Version}
}

// VMs waits until the list has another version; an unchanged list comes with the given version and without VMs.
func (c *Client) VMs(ctx context.Context, version uint64) (List, error) {
	request := call{method: http.MethodGet, path: "/v1/vms"}
	// The version of a list is positive, so the first one is there at once and needs no long time limit.
	if version > 0 {
		request.query, request.wait = c.poll(version), c.wait
	}
	a, err := c.do(ctx, request)
	switch {
	case ctx.Err() != nil:
		return List{Version: version}, nil
	case err != nil:
		return List{}, fmt.Errorf("list VMs: %w", err)
	case a.status == http.StatusNotModified:
		return List{Version: version}, nil
	}
	return readList(a.body)
}

// Register puts a VM into the list or changes its state; it returns ErrOldIncarnation for a step backwards.
func (c *Client) Register(ctx context.Context, vm VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return fmt.Errorf("register VM %q: %w", vm.ID, err)
	}
	_, err = c.do(ctx, call{method: http.MethodPut, path: "/v1/vms/" + url.PathEscape(vm.ID), body: body})
	if errors.Is(err, ErrVersionMismatch) {
		err = ErrOldIncarnation
	}
	if err != nil {
		return fmt.Errorf("register VM %q: %w", vm.ID, err)
	}
	return nil
}

func (c *Client) poll(version uint64) string {
	return "?not-version=" + strconv.FormatUint(version, 10) + "&wait-ms=" + strconv.FormatInt(c.wait.Milliseconds(), 10)
}

// keyPath escapes each byte of a key that a path can't carry, but not the slashes between its parts.
func keyPath(key string) string {
	return "/v1/keys/" + strings.ReplaceAll(url.PathEscape(key), "%2F", "/")
}

func readList(body []byte) (List, error) {
	var list List
	if err := json.Unmarshal(body, &list); err != nil {
		return List{}, fmt.Errorf("list VMs: malformed answer: %w", err)
	}
	for _, vm := range list.VMs {
		if vm.ID == "" || vm.Address == "" {
			return List{}, fmt.Errorf("list VMs: VM %q has no id or no address", vm.ID)
		}
	}
	return list, nil
}
