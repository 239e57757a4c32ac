package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// Header names of the protocol.
const (
	// HeaderVersion carries the version of a value.
	HeaderVersion = "Version"
	// HeaderIfVersion carries the version that a write expects.
	HeaderIfVersion = "If-Version"
	// HeaderZone names the zone of the calling VM.
	HeaderZone = "Zone"
	// HeaderNoEffect is "true" on a 503 when the call certainly had no effect.
	HeaderNoEffect = "No-Effect"
)

// maxAnswerSize bounds what the client reads; a list of 10,000 VMs has less than 4 MiB.
const maxAnswerSize = 8 << 20

// call is one request of the protocol.
type call struct {
	method  string
	path    string
	query   string
	version uint64 // sent with writes
	body    []byte
	wait    time.Duration // long poll
}

func (c call) write() bool { return c.method != http.MethodGet }

// answer is a successful answer.
type answer struct {
	status  int
	version uint64
	body    []byte
}

func (a answer) value(key string) (Value, error) {
	if a.version == 0 {
		return Value{}, fmt.Errorf("get key %q: answer has no version", key)
	}
	return Value{Data: a.body, Version: a.version}, nil
}

// do sends a call to the preferred server and to the others while it is certain that the call had no effect.
func (c *Client) do(ctx context.Context, request call) (answer, error) {
	if len(c.bases) == 0 {
		return answer{}, fmt.Errorf("no platform address is set: %w", ErrNoEffect)
	}
	first := int(c.preferred.Load())
	var problems []error
	for i := range c.bases {
		index := (first + i) % len(c.bases)
		a, err := c.send(ctx, c.bases[index], request)
		if err == nil || final(err) {
			c.preferred.Store(uint32(index))
			return a, err
		}
		problems = append(problems, err)
		if errors.Is(err, ErrUncertain) || ctx.Err() != nil {
			break
		}
	}
	return answer{}, errors.Join(problems...)
}

// final reports whether the platform has decided the call, so that no other server is asked.
func final(err error) bool {
	return HadNoEffect(err) && !errors.Is(err, ErrNoEffect)
}

func (c *Client) send(ctx context.Context, base string, request call) (answer, error) {
	// Each server gets the whole time, so that one that never answers leaves time for the next one.
	ctx, cancel := context.WithTimeout(ctx, c.timeout+request.wait)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	httpRequest, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), request.method,
		base+request.path+request.query, bytes.NewReader(request.body))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", ErrNoEffect, err)
	}
	if request.write() {
		httpRequest.Header.Set(HeaderIfVersion, strconv.FormatUint(request.version, 10))
	}
	if c.zone != "" {
		httpRequest.Header.Set(HeaderZone, c.zone)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return answer{}, request.mark(err, connected)
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response, request)
}

// mark says with the error of a write whether it may have taken effect.
func (c call) mark(err error, uncertain bool) error {
	switch {
	case !c.write():
		return err
	case uncertain:
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	default:
		return fmt.Errorf("%w: %w", ErrNoEffect, err)
	}
}

func readAnswer(response *http.Response, request call) (answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize+1))
	if err == nil && len(body) > maxAnswerSize {
		err = fmt.Errorf("answer exceeds %d bytes", maxAnswerSize)
	}
	if err != nil {
		return answer{}, request.mark(err, true)
	}
	a := answer{status: response.StatusCode, body: body}
	if text := response.Header.Get(HeaderVersion); text != "" {
		if a.version, err = strconv.ParseUint(text, 10, 64); err != nil {
			return answer{}, request.mark(fmt.Errorf("malformed version: %w", err), true)
		}
	}
	return a, statusError(response, body, request)
}

func statusError(response *http.Response, body []byte, request call) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		if !request.write() {
			return nil
		}
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrVersionMismatch
	case http.StatusRequestEntityTooLarge:
		return ErrValueTooLarge
	}
	err := fmt.Errorf("platform answered %d: %s", response.StatusCode, excerpt(body))
	refused := response.StatusCode == http.StatusBadRequest || response.Header.Get(HeaderNoEffect) == "true"
	return request.mark(err, !refused)
}

func excerpt(body []byte) string {
	const most = 200
	return strings.ToValidUTF8(strings.TrimSpace(string(body[:min(len(body), most)])), "?")
}
