package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/publication"
	"samphireplank.example/samphireplank/standin"
	"samphireplank.example/samphireplank/store"
)

// fleet is a platform stand-in with entry VMs that have the published generation in force at once.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: standin.NewPlatform(standin.PlatformConfig{})}
	if err := f.platform.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.platform.Close() })
	return f
}

// add lists an entry VM; a stuck one has nothing in force.
func (f *fleet) add(id string, state store.State, stuck bool) {
	f.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var generation uint64
		if head, _, err := publication.ReadHead(r.Context(), f.platform.FaultFreeStore()); err == nil && !stuck {
			generation = head.Generation
		}
		fmt.Fprintf(w, `{"generation":%d}`, generation)
	}))
	f.t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	vm := store.VM{ID: id, Zone: "tartu-a", Role: store.RoleEntry, Address: address, Incarnation: 1, State: state}
	if err := f.platform.FaultFreeStore().Register(f.t.Context(), vm); err != nil {
		f.t.Fatal(err)
	}
}

// run executes a command against the platform stand-in and returns its exit code and all output.
func (f *fleet) run(args ...string) (int, string) {
	f.t.Helper()
	args = append([]string{args[0], "--platform", f.platform.Address()}, args[1:]...)
	code, stdout, stderr := execute(f.t, connect, args...)
	return code, stdout + stderr
}

// variant writes the valid set with another text in it and returns the name of the file.
func variant(t *testing.T, from, to string) string {
	t.Helper()
	data, err := os.ReadFile("../../contract/testdata/valid.yaml")
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "objects.yaml")
	if err := os.WriteFile(name, []byte(strings.Replace(string(data), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// Guards against commands that don't fit together over the platform's real protocol.
func TestOperatorPath(t *testing.T) {
	f := newFleet(t)
	f.add("entry-1", store.StateLive, false)
	f.add("entry-2", store.StateLive, false)
	f.add("entry-3", store.StateLeaving, true)
	first, second := variant(t, "", ""), variant(t, "slots: 8", "slots: 16")
	by := func(author string, args ...string) []string {
		return append([]string{"publish", "--author", author, "--reason", "try it"}, args...)
	}
	steps := []struct {
		args []string
		code int
		text []string
	}{
		{[]string{"history"}, exitDone, []string{"Nothing was published yet."}},
		{[]string{"plan", first}, exitDone, []string{"+ service sorting", "    slots: 8", "9 added, 0 changed, 0 removed"}},
		{by("mari", first), exitDone, []string{"Published generation 1 ", "by mari (try it)", "In force on 2 of 2 entry VMs"}},
		{by("jaan", first), exitDone, []string{"Nothing to publish, this set is generation 1 "}},
		{[]string{"plan", second}, exitDone, []string{"~ service sorting", "    slots: 8 -> 16", "publish --base 1"}},
		{by("jaan", "--base", "1", second), exitDone, []string{"Published generation 2 "}},
		{by("mari", "--base", "1", first), exitLostRace, []string{"jaan published generation 2"}},
		{[]string{"restore", "--author", "mari", "--reason", "too large", "1"}, exitDone, []string{"Published generation 3 "}},
		{[]string{"restore", "--author", "mari", "--reason", "older", "9"}, exitFailed, []string{"holds 1 to 3"}},
		{[]string{"plan", first}, exitDone, []string{"0 added, 0 changed, 0 removed"}},
		{[]string{"history", "--limit", "2"}, exitDone, []string{"3 ", "too large", "2 ", "jaan"}},
		{[]string{"status"}, exitDone, []string{"Published: generation 3 ", "entry-1", "entry-2"}},
	}
	for _, step := range steps {
		t.Run(strings.Join(step.args[:1], " "), func(t *testing.T) {
			code, output := f.run(step.args...)
			is.New(t).Equal(code, step.code)
			for _, text := range step.text {
				if !strings.Contains(output, text) {
					t.Errorf("output lacks %q:\n%s", text, output)
				}
			}
		})
	}
}

// Guards against a publication that is reported as in force while an entry VM lags or doesn't answer.
func TestPublishNamesVMsBehind(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.add("entry-1", store.StateLive, false)
	f.add("entry-2", store.StateLive, true)
	gone := store.VM{ID: "entry-3", Zone: "tartu-b", Role: store.RoleEntry, Address: "127.0.0.1:1", Incarnation: 1, State: store.StateLive}
	is.NoErr(f.platform.FaultFreeStore().Register(t.Context(), gone))
	args := []string{"publish", "--author", "mari", "--reason", "first", "--wait", "500ms", variant(t, "", "")}
	code, output := f.run(args...)
	is.Equal(code, exitNotInForce)
	is.True(strings.Contains(output, "In force on 1 of 3 entry VMs"))
	is.True(strings.Contains(output, "entry-2 (tartu-a, "))
	is.True(strings.Contains(output, "not in force in time on entry-2, entry-3"))
	code, output = f.run(append([]string{args[0], "--json"}, args[1:]...)...)
	is.Equal(code, exitNotInForce)
	var result publishResult
	is.NoErr(json.Unmarshal([]byte(output), &result)) // one JSON document and nothing else
	is.Equal(len(result.NotInForce), 2)
}

// Guards against a wrong exit code when the platform is down before or after the publication.
func TestPublishWithPlatformDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	code, _ := f.run("publish", "--author", "mari", "--reason", "first", "--platform-timeout", "200ms", variant(t, "", ""))
	is.Equal(code, exitFailed)
	unlisted := unlistedFleet{store.NewMemory()}
	_, notIn, err := waitInForce(t.Context(), unlisted, 1, 1)
	is.Equal(len(notIn), 0)
	is.Equal(exitCode(err), exitNotInForce)
}

// unlistedFleet has a list of VMs that can't be read.
type unlistedFleet struct{ *store.Memory }

func (unlistedFleet) VMs(context.Context, uint64) (store.VMList, error) {
	return store.VMList{}, errors.New("no answer")
}

// Guards against publications that are lost, doubled or reported as failed when the platform's answers get lost on the
// way through its real protocol.
func TestPublishWithLostAnswers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.platform.SetFaults(standin.PlatformFaults{LostReplyProbability: 0.5, Seed: 1})
	const publications = 20
	for n := range publications {
		name := variant(t, "queue: 20000", fmt.Sprintf("queue: %d", 1000+n))
		code, output := f.run("publish", "--author", "mari", "--reason", "lost answers", name)
		if code != exitDone {
			t.Fatalf("publication %d: exit code %d: %s", n, code, output)
		}
	}
	records, err := publication.NewPublisher(publication.Config{Store: f.platform.FaultFreeStore()}).History(t.Context())
	is.NoErr(err)
	is.Equal(len(records), publications)
	is.True(f.platform.Counts().LostAnswers > publications)
}
