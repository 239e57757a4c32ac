package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/link/linkpb"
	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
)

// Guards against a field of a peer message that is lost on the wire, which would corrupt the ledger of the peer.
func TestPeerMessagesKeepEveryField(t *testing.T) {
	set := &contract.Set{
		Priorities: []contract.Priority{{Name: "bulk"}, {Name: "urgent"}},
		Teams:      []contract.Team{{Name: "a"}, {Name: "b"}, {Name: "c"}},
	}
	index := newFlowIndex(7, set)
	ranges := []slot.Range{{First: 3, Count: 4}, {First: 9, Count: 1}}
	messages := []slot.PeerMessage{
		slot.Want{Sent: 1, Count: 2},
		slot.Lend{Epoch: 1, Wanted: 2, First: 3, Groups: []slot.Group{{Endpoint: "e", Count: 4}}, Idle: 5},
		slot.Renew{Epoch: 1, Sent: 2, Through: 3, Held: 4, Sum: 5},
		slot.Renewed{Epoch: 1, Sent: 2, Through: 3, Audit: true},
		slot.Return{Epoch: 1, Ranges: ranges},
		slot.Holdings{Epoch: 1, Through: 2, Ranges: ranges},
		slot.Recall{Epoch: 1, Through: 2, Keep: 3},
		slot.Handover{Sent: 1, Items: []slot.Occupied{{Endpoint: "e", Count: 2, Release: 3}}},
		slot.Resume{Sent: 1},
		slot.Resumed{Sent: 1, Clear: true},
	}
	var sent []dispatch.PeerPayload
	for _, m := range messages {
		sent = append(sent, dispatch.SlotMessage{Message: m})
	}
	sent = append(
		sent,
		dispatch.DemandReport{Demands: []queue.Demand{{Flow: queue.Flow{Priority: "urgent", Team: "b"}, Queued: 2, Running: 3}}},
		dispatch.EjectionReport{Ejections: []endpoint.HealthReport{{
			Endpoint: "e", Incarnation: 2, Phase: endpoint.ReportedHalfOpen, Level: 4, Age: 5 * time.Millisecond, Remaining: 6 * time.Millisecond,
		}}},
	)
	batch := &linkpb.ServiceBatch{Service: "cue"}
	for _, body := range sent {
		appendBody(batch, body, index)
	}
	data, err := proto.Marshal(batch)
	is := is.New(t)
	is.NoErr(err)
	received := &linkpb.ServiceBatch{}
	is.NoErr(proto.Unmarshal(data, received))
	is.Equal(parseBodies(received, index), sent)
}

// Guards against demand that is decoded with the flow numbers of another generation.
func TestDemandOfAnotherGenerationIsIgnored(t *testing.T) {
	is := is.New(t)
	index := newFlowIndex(2, &contract.Set{})
	_, ok := parseDemand(&linkpb.Demand{Generation: 1}, index)
	is.Equal(ok, false)
}

// FuzzPeerBatch guards against a batch of a peer that panics the conversion or the core.
func FuzzPeerBatch(f *testing.F) {
	full := &linkpb.ServiceBatch{
		Service: "cue",
		Slots:   []*linkpb.SlotMessage{slotMessage(slot.Lend{Epoch: 1, First: 1, Groups: []slot.Group{{Endpoint: "e", Count: 2}}}), {}},
		Demand:  &linkpb.Demand{Flows: []uint32{1 << 31}, Queued: []uint32{1}, Running: []uint32{1}},
	}
	data, err := proto.Marshal(full)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x12, 0x02, 0x0a, 0x00})
	f.Fuzz(func(_ *testing.T, data []byte) {
		batch := &linkpb.ServiceBatch{}
		if proto.Unmarshal(data, batch) != nil {
			return
		}
		set := &contract.Set{Services: []contract.Service{{Name: "cue", Slots: 2}}}
		core := dispatch.New(dispatch.Config{VM: "entry-1", Incarnation: 1, Service: "cue", Set: set})
		now := time.Unix(0, 0)
		core.Update(now, dispatch.MembershipChanged{Peers: []string{"entry-2"}}, nil)
		for _, body := range parseBodies(batch, noFlows) {
			core.Update(now, dispatch.PeerMessage{From: "entry-2", Body: body}, nil)
		}
		core.Update(now.Add(time.Second), dispatch.Tick{}, nil)
	})
}
