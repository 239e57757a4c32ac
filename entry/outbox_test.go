package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/link"
	"samphireplank.example/samphireplank/slot"
	"samphireplank.example/samphireplank/store"
)

func add(box *peerSender, body dispatch.PeerPayload) { box.add("cue", body, noFlows) }

// Guards against an exchange for each deferrable message, and an urgent message that is delayed with deferrable ones.
func TestMessagesThatCanWaitGoAlong(t *testing.T) {
	is := is.New(t)
	box := newPeerSender(store.VM{}, func() {})
	add(box, dispatch.SlotMessage{Message: slot.Return{Epoch: 1}})
	began := time.Now()
	is.True(box.wait(context.Background(), nil))
	is.True(time.Since(began) >= batchDelay) // delayed for other messages

	add(box, dispatch.SlotMessage{Message: slot.Renew{Epoch: 1}})
	add(box, dispatch.SlotMessage{Message: slot.Want{Count: 3}})
	is.True(box.wait(context.Background(), nil))
	services := box.takeBatches()
	is.Equal(len(services), 1)
	is.Equal(len(services[0].Slots), 3)            // in the order in which they were added
	is.True(services[0].Slots[2].GetWant() != nil) // after the delayed messages
	is.Equal(services[0].Slots[2].GetWant().Count, uint32(3))
}

// Guards against an empty exchange for messages that were sent with an earlier batch.
func TestSignalOfASentMessageCausesNoBatch(t *testing.T) {
	is := is.New(t)
	box := newPeerSender(store.VM{}, func() {})
	add(box, dispatch.SlotMessage{Message: slot.Want{Count: 3}})
	box.takeBatches()
	ctx, cancel := context.WithTimeout(context.Background(), 3*batchDelay)
	defer cancel()
	is.True(!box.wait(ctx, nil))
}

// Guards against deferrable messages that include some for which a task waits.
func TestUrgentMessagesDoNotWait(t *testing.T) {
	is := is.New(t)
	for _, m := range []slot.PeerMessage{
		slot.Want{Count: 1},
		slot.Lend{},
		slot.Recall{},
		slot.Renewed{},
		slot.Holdings{},
		slot.Handover{},
		slot.Resume{},
		slot.Resumed{},
	} {
		is.True(!canWait(dispatch.SlotMessage{Message: m}))
	}
	for _, m := range []slot.PeerMessage{slot.Want{}, slot.Renew{}, slot.Return{}} {
		is.True(canWait(dispatch.SlotMessage{Message: m}))
	}
	is.True(canWait(dispatch.DemandReport{}))
}

// Guards against a leak of senders and connections when VMs are replaced.
func TestOutboxOfAGonePeerIsClosed(t *testing.T) {
	is := is.New(t)
	e := &Server{linkClient: link.NewClient(link.ClientConfig{}), ctx: context.Background(), group: &errgroup.Group{}}
	o := newPeerSenders(e)
	o.setPeers([]store.VM{{ID: "entry-2", Incarnation: 1, LinkAddress: "127.0.0.1:1"}})
	o.setPeers([]store.VM{{ID: "entry-2", Incarnation: 2, LinkAddress: "127.0.0.1:2"}})
	is.Equal(len(o.senders), 1)
	is.Equal(o.senders["entry-2"].peer.Incarnation, uint64(2))
	o.setPeers(nil)
	is.Equal(len(o.senders), 0)
	is.NoErr(e.group.Wait()) // every sender has ended
}
