package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/store"
)

// Guards against a not-run answer for a submission that its home may have run before the home failed.
func TestRefusalWithoutHomeIsUnknown(t *testing.T) {
	stores := map[string]*store.Memory{"refused by the core": publishedObjects(t), "no configuration": store.NewMemory()}
	for name, memory := range stores {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, err := New(Config{
				VM: "entry-1", Zone: "zone-a", Listen: "127.0.0.1:0", LinkListen: "127.0.0.1:0",
				StopTimeout: time.Second, Store: memory, Directory: memory,
			})
			is.NoErr(err)
			ctx, stop := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error { return e.Run(ctx) })
			time.Sleep(200 * time.Millisecond) // until the configuration, if any, is active
			id := job.ID{Zone: "zone-b", VM: "entry-2", Incarnation: 1, Sequence: 1}
			// The kind is idempotent, so this VM tries to run the submission, but has no endpoints.
			_, err = e.Submit(ctx, job.Submission{ID: id, Kind: "next-line", Team: "studio", Bodies: [][]byte{[]byte("{}")}})
			is.NoErr(err)
			answer, err := e.Wait(ctx, id, time.Second)
			is.NoErr(err)
			is.Equal(answer.Outcome, job.Unknown)
			stop()
			is.NoErr(group.Wait())
		})
	}
}
