package load

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write golden files")

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs; got:\n%s", path, got)
	}
}

// sampleReport adds a few jobs of each outcome to a recorder and judges them by counts.
func sampleReport() *Report {
	p := testProfile()
	p.Floods = []Flood{{From: time.Second, To: 2 * time.Second, Priority: "c", Factor: 2}}
	rec := newRecorder(p)
	job := func(at time.Duration, tasks int, got result, kind special) {
		a := arrival{at: at, mix: &p.Workloads[0], runTimes: make([]time.Duration, tasks)}
		for i := range a.runTimes {
			a.runTimes[i] = 100 * time.Millisecond
		}
		rec.late(a, time.Millisecond)
		rec.add(a, got, kind)
	}
	job(0, 2, result{id: "j1", outcome: "complete", elapsed: 110 * time.Millisecond}, plain)
	job(0, 1, result{id: "j2", outcome: "complete", elapsed: 2 * time.Second}, plain)
	job(0, 1, result{id: "j3", outcome: "failed", reason: "endpoint answered 500"}, plain)
	job(time.Second, 1, result{id: "j4", outcome: "not-run", reason: "queue is full", retryAfter: time.Second}, plain)
	job(time.Second, 1, result{id: "j5", outcome: "not-run", reason: "cancelled", sinceCancel: time.Millisecond}, cancelled)
	job(0, 1, result{id: "j6", outcome: "complete", elapsed: time.Second, contradictory: true}, resubmitted)
	rec.cancel(true)
	r := &runner{profile: p, recorder: rec, judge: newJudge(nil)}
	report := r.report(standInCounts{}, 10*time.Second, nil)
	busy := 100 * time.Millisecond
	report.addWork(map[string]taskLine{
		"j1/0": {starts: 1, answers: 1, busy: busy}, "j1/1": {starts: 1, answers: 1, refusals: 1, busy: busy},
		"j2/0": {starts: 2, answers: 1, busy: 2 * busy}, "j3/0": {starts: 1, busy: busy}, "j5/0": {starts: 1, busy: busy},
		"j7/0": {starts: 1, answers: 1, busy: busy},
	}, rec.jobs, standInCounts{
		Slots: 1, BusySeconds: 0.7, MostRunning: 1, Endpoints: []EndpointStarts{{ID: "e1", Starts: 4}, {ID: "e2", Starts: 2, Failures: 1}},
	}, 10*time.Second)
	return report
}

// Guards against reports that change their form or figures without being noticed.
func TestReportGolden(t *testing.T) {
	is := is.New(t)
	var text, json bytes.Buffer
	is.NoErr(sampleReport().WriteText(&text))
	is.NoErr(sampleReport().WriteJSON(&json))
	golden(t, "report.txt", text.Bytes())
	golden(t, "report.json", json.Bytes())
	is.True(sampleReport().Err() != nil)
}

// Guards against profiles that no longer parse, and against a rate or mix that differs from what they promise.
func TestProfilesOffer(t *testing.T) {
	for name, tasksPerSecond := range map[string]float64{
		"steady-70": 0, "steady-80-uneven": 0, "flood-least-urgent": 0, "flood-most-urgent": 0, "cancel-wave": 0, "scale-5000": 5000,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := ReadProfile(filepath.Join("..", "examples", "profiles", name+".yaml"))
			is.NoErr(err)
			is.Equal(p.Name, name)
			s, err := newSchedule(p, 9)
			is.NoErr(err)
			tasks, jobs := map[bool]int{}, 0
			var last time.Duration
			for a, more := s.take(); more; a, more = s.take() {
				is.True(a.at >= last && a.at < p.Duration)
				last = a.at
				tasks[a.flood] += len(a.runTimes)
				jobs++
			}
			rate := float64(tasks[false]) / p.Duration.Seconds()
			t.Logf("%.0f task starts/s, %d tasks of floods, %.1f tasks per job", rate, tasks[true], float64(tasks[false]+tasks[true])/float64(jobs))
			if tasksPerSecond == 0 {
				tasksPerSecond = p.taskRate()
			}
			is.True(rate > 0.95*tasksPerSecond && rate < 1.05*tasksPerSecond)
			is.Equal(len(p.Floods) > 0, tasks[true] > 0)
		})
	}
}

// Guards against a profile with a slip that runs as another load than was meant.
func TestParseProfileRefuses(t *testing.T) {
	const mix = "mixes: [{kind: k, class: c, teams: [t], deadline: 1s, run-time: {median: 100ms}}]\n"
	cases := map[string]string{
		"unknown field":   "duration: 1s\nrate: 1\nfoo: 1\n" + mix,
		"no rate":         "duration: 1s\n" + mix,
		"rate and load":   "duration: 1s\nrate: 1\nload: 0.5\n" + mix,
		"no duration":     "rate: 1\n" + mix,
		"no mix":          "duration: 1s\nrate: 1\n",
		"unmatched flood": "duration: 1s\nrate: 1\nfloods: [{from: 0s, to: 1s, class: x, factor: 2}]\n" + mix,
		"empty flood":     "duration: 1s\nrate: 1\nfloods: [{from: 0s, to: 1s, factor: 2}]\n" + mix,
		"weights of 0":    "duration: 1s\nrate: 1\nweights: [0]\n" + mix,
		"rate of NaN":     "duration: 1s\nrate: .nan\n" + mix,
	}
	is.New(t).True(func() bool { _, err := ParseProfile([]byte("duration: 1s\nrate: 1\n" + mix)); return err == nil }())
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseProfile([]byte(text))
			is.New(t).True(err != nil)
		})
	}
}

// Guards against a report that is lost, or passes as checked, when the stand-ins' counts can't be had.
func TestReportWithoutCounts(t *testing.T) {
	is := is.New(t)
	p := testProfile()
	r := &runner{profile: p, recorder: newRecorder(p), judge: newJudge([]string{"127.0.0.1:1"})}
	report := r.report(standInCounts{}, time.Second, nil)
	is.True(report.WorkError != "" && report.Err() != nil)
}
