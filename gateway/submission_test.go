package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
)

// Guards against a REFUSED job that its holder had run (clt-cues, holders-without-store, seed 1002311048535): a VM that
// was paused until after the deadline found the connection to the holder lost and refused the job.
func TestNoRefusalAfterHolderHadTheJob(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &request{deadline: now.Add(-time.Millisecond)}
	reply := r.withoutFalseRefusal(r.handleNoVerdict(t.Context(), now))
	_, undecided := reply.(OutcomeUnknown)
	is.True(undecided)
	early := &request{deadline: now.Add(time.Second)}
	is.True(early.handleNoVerdict(t.Context(), now) == nil) // the job goes to the successor
	is.True(early.mayHaveStarted && early.resumed)
	_, refused := (&request{}).withoutFalseRefusal(Refused{}).(Refused)
	is.True(refused) // a job that no holder had
}

// Guards against a job that is given to another group while its last holder's runs go on, because an earlier holder was
// lost long before (TWICE on the users' machines, and on silent-connections, seed 266815395617).
func TestSecondChangeOfHolderStartsTasksInAnotherGroup(t *testing.T) {
	lose := func(t *testing.T, r *request) { _ = r.handleNoVerdict(t.Context(), time.Now()) }
	handOver := func(t *testing.T, r *request) {
		(&Gateway{cache: newStoreCache(fakeDecoder{}, zerolog.Nop())}).handleVerdict(t.Context(), r, r.group, peer.Verdict{Kind: peer.VerdictHandedOver})
	}
	for name, changes := range map[string][2]func(*testing.T, *request){
		"lost twice": {lose, lose}, "lost, then handed over": {lose, handOver}, "handed over, then lost": {handOver, lose}, "handed over twice": {handOver, handOver},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &request{group: "a#0", deadline: time.Now().Add(time.Minute)}
				changes[0](t, r)
				time.Sleep(2 * orphanedRunTimeout) // the next holder has accepted the job
				changes[1](t, r)
				is.True(r.runsMayBeLeft())
				time.Sleep(orphanedRunTimeout)
				is.True(!r.runsMayBeLeft())
			})
		})
	}
}

// Guards against a job that stays with a group without a holder until its deadline, because VMs that do not hold the
// group return it again and again.
func TestReturnedJobLeavesAGroupWithoutHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gateway{cache: newStoreCache(fakeDecoder{}, zerolog.Nop())}
		r := &request{group: "a#0", deadline: time.Now().Add(time.Minute)}
		_ = r.handleNoVerdict(t.Context(), time.Now())
		for end := time.Now().Add(orphanedRunTimeout); time.Now().Before(end); {
			g.handleVerdict(t.Context(), r, r.group, peer.NewVerdict(1, notHeldVerdict(peer.Submit{Resumed: true})))
		}
		is.True(!r.runsMayBeLeft())
	})
}

// Guards against tasks that the next holder starts at once, because the lost holder's predecessor has reported that they
// were queued.
func TestLostHolderLeavesOutdatedProgress(t *testing.T) {
	is := is.New(t)
	r := &request{deadline: time.Now().Add(time.Minute)}
	r.loseHolder(placement.Progress{Done: [][]bool{{true, false}}, On: [][]string{{"", ""}}})
	_ = r.handleNoVerdict(t.Context(), time.Now())
	is.Equal(r.progress.Done, [][]bool{{true, false}})
	is.True(r.progress.On[0][0] == "" && r.progress.On[0][1] != "") // the second task may be running
}
