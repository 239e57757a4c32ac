package slot

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A job on one VM must not wait while slots of its peers are idle.
func TestOneExchangeReachesAllIdleSlots(t *testing.T) {
	for _, vms := range []int{3, 5} {
		is := is.New(t)
		z := newTestZone(Config{}, vms, 16, 8, 1)
		z.run(2*time.Second, nil)
		z.vms[0].queued = 150
		z.dispatch(z.vms[0])
		z.run(time.Millisecond, nil)
		is.Equal(len(z.vms[0].held), 128) // every slot of the zone is in use after one exchange
		for len(z.vms[0].held) > 0 {
			z.finish(z.vms[0], 0)
		}
		z.run(100*time.Millisecond, nil)
		is.Equal(z.vms[0].ledger.Counts().Borrowed, 0) // unused loans are returned after 50 ms
		is.Equal(z.vms[1].ledger.Counts().Lent, 0)
	}
}
