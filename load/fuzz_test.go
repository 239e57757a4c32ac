package load

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against answers that crash the tool, and against one that counts as complete without each task's token.
func FuzzCheck(f *testing.F) {
	a := arrival{index: 7, mix: &testProfile().Workloads[0], runTimes: make([]time.Duration, 2)}
	whole := `{"id":"a.b.1.1","outcome":"complete","results":[{"token":"` + token(1, 7, 0) + `"},{"token":"` + token(1, 7, 1) + `"}]}`
	f.Add(200, []byte(whole))
	f.Add(503, []byte(`{"outcome":"not-run","retry-after-ms":1e300}`))
	f.Add(200, []byte(`{"outcome":"complete","results":[null,1]}`))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		got := check(status, data, a, 1, "a.b.1.1")
		if got.outcome == "complete" && status != fasthttp.StatusOK {
			t.Fatalf("status %d is taken for complete", status)
		}
		if got.outcome == "complete" && !got.partial && !got.crossed && len(data) < 2*len(token(1, 7, 0)) {
			t.Fatalf("%q is taken for a whole answer", data)
		}
		if got.retryAfter < 0 {
			t.Fatalf("retry after %v", got.retryAfter)
		}
		_ = addTasks(map[string]taskLine{}, data)
	})
}
