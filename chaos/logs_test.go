package chaos

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/load"
)

// Guards against a report of a violation that doesn't say which job and which event it is about.
func TestReportNamesTheEvent(t *testing.T) {
	is := is.New(t)
	cfg := Config{Seed: 7, LogDir: t.TempDir()}
	var out strings.Builder
	cfg.Out = &out
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	log := `{"event":"task-not-succeeded","job":"a.b.1.2","endpoint":"endpoint-1","time":"2026-01-02T03:04:05Z"}` + "\n" +
		`{"event":"task-not-succeeded","job":"a.b.1.22","endpoint":"other","time":"2026-01-02T03:04:05Z"}` + "\n"
	is.NoErr(os.WriteFile(filepath.Join(cfg.LogDir, "entry-0.log"), []byte(log), 0o644))
	r := newRecord()
	r.spans = []span{
		{event: FaultEvent{Number: 3, Kind: Kill, Entry: 4}, from: at, to: at.Add(time.Second)},
		{event: FaultEvent{Number: 5, Kind: Stop, Entry: 5}, from: at.Add(time.Minute), to: at.Add(2 * time.Minute)},
	}
	report := &load.Report{Checks: load.Checks{StartsExtra: 1}, Work: &load.EndpointStats{}, ViolatingIDs: []string{"a.b.1.2/0"}}
	judgeLoad(report, r, &cluster{})
	is.True(errors.Is(r.write(cfg, report), ErrCheckFailed))
	_, suspects, found := strings.Cut(out.String(), "violated for a.b.1.2/0:")
	is.True(found)
	is.True(strings.Contains(out.String(), "seed 7: 1 VIOLATIONS"))
	is.True(strings.Contains(suspects, "endpoint-1") && strings.Contains(suspects, "during #3"))
	is.True(!strings.Contains(suspects, "other") && !strings.Contains(suspects, "#5"))
}
