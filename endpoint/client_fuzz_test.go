package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// Guards against an accepted answer with ambiguous framing or Task-Id: net/http must parse each accepted answer in the
// same way, and a connection is kept only if nothing follows the answer.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		good, good + good, "HTTP/1.1 204 No Content\nTask-Id: <id>\n\n", "HTTP/1.1 103 x\n\n" + good, "\x00\xff\n\n",
		"HTTP/1.1 200 OK\nTask-Id: <id>\nTransfer-Encoding: chunked\n\n2\n{}\n0\n\n",
		"HTTP/1.1 200 OK\nTask-Id: <id>\nTransfer-Encoding: chunked\nContent-Length: 3\n\n2\n{}\n0\nX: y\n\n",
		"HTTP/1.1 200 OK\nTask-Id: <id>\nContent-Length: 2\nContent-Length: 3\n\n{}x",
		"HTTP/1.1 200 OK\nTask-Id: <id>\nContent-Length: +2\n\n{}", "HTTP/1.0 200 OK\nTask-Id: <id>\nContent-Length: 2\n\n{}",
		"HTTP/1.1 503 No\nNot-Run: true\nTask-Id: <id>\nContent-Length: 0\n\n", "HTTP/1.1 200 OK\nTask-Id:\n <id>\n\n",
		"HTTP/1.1 200 OK\nTask-Id : <id>\nContent-Length: 2\n\n{}", "HTTP/1.1 304 x\nTask-Id: <id>\nContent-Length: 5\n\n",
	} {
		f.Add([]byte(strings.ReplaceAll(strings.ReplaceAll(seed, "\n", "\r\n"), "<id>", taskID)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := NewClient(ClientConfig{Dial: dialTo(&brokenConn{takes: -1, answer: bytes.NewReader(data)})})
		response := c.Send(t.Context(), testRequest("x:1"))
		_, idle := c.Connections("x:1")
		if idle > 0 && !reusable(response.Result) {
			t.Fatalf("connection kept after %v", response.Result)
		}
		if response.Result == Unknown {
			return
		}
		compareWithStandardLibrary(t, data, response)
	})
}

func compareWithStandardLibrary(t *testing.T, data []byte, response Response) {
	t.Helper()
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		expected, err := http.ReadResponse(reader, &http.Request{Method: fasthttp.MethodPost})
		if err != nil {
			t.Fatalf("%v: %v", response.Result, err)
		}
		if expected.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(expected.Body)
		if err != nil || !bytes.Equal(body, response.Body) || expected.StatusCode != response.Status {
			t.Fatalf("%v: status %d, body %q, error %v; got status %d, body %q", response.Result, expected.StatusCode, body, err, response.Status, response.Body)
		}
		if ids := taskIDs(expected.Header); len(ids) != 1 || ids[0] != taskID {
			t.Fatalf("Task-Id %q", ids)
		}
		return
	}
}

// taskIDs also finds names with a space before the colon, which fasthttp accepts and net/http keeps as part of the
// name.
func taskIDs(header http.Header) []string {
	var ids []string
	for name, values := range header {
		if strings.EqualFold(strings.TrimSpace(name), HeaderTaskID) {
			ids = append(ids, values...)
		}
	}
	return ids
}
