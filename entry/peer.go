package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/link/linkpb"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/zone"
)

// Exchange processes a batch of an entry VM and returns the replies to it.
func (e *Server) Exchange(_ context.Context, batch *linkpb.Batch) (*linkpb.Batch, error) {
	sender, known := e.membership.Get(batch.From)
	otherZone := known && sender.Zone != e.config.Zone
	reply := e.newBatch(batch.From, nil, batch.Report != nil && otherZone, !known)
	e.receiveBatch(batch, batch.From, reply)
	if otherZone {
		reply.Services = e.summaryBatches()
	}
	return reply, nil
}

// receiveBatch processes a batch; replies to its sender go into reply, or through its peerSender if reply is nil.
func (e *Server) receiveBatch(batch *linkpb.Batch, from string, reply *linkpb.Batch) {
	if batch.From != from {
		return
	}
	now := time.Now()
	if batch.Report != nil {
		e.receiveReport(now, batch)
	}
	if e.membership.MarkAlive(now, from, batch.Incarnation) != nil {
		e.membershipDirty.Store(true)
	}
	sender, known := e.membership.Get(from)
	if !known {
		return
	}
	for _, services := range batch.Services {
		if services.Summary != nil && sender.Zone != e.config.Zone {
			e.receiveSummary(now, sender, services)
		}
		if sender.Zone == e.config.Zone {
			e.receiveService(from, services, reply)
		}
	}
}

// receiveService passes the messages of one service to its core.
func (e *Server) receiveService(from string, batch *linkpb.ServiceBatch, reply *linkpb.Batch) {
	s, ok := e.coreOf(batch.Service)
	if !ok {
		return
	}
	answer := &linkpb.ServiceBatch{Service: batch.Service}
	for _, body := range parseBodies(batch, e.flowIndex()) {
		m := dispatch.PeerMessage{From: from, Body: body}
		if reply == nil {
			e.update(s, m)
			continue
		}
		e.updateFrom(s, m, answer)
	}
	if reply != nil && (len(answer.Slots) > 0 || answer.Demand != nil || len(answer.Ejections) > 0) {
		reply.Services = append(reply.Services, answer)
	}
}

// receiveReport merges the sender's changes of the membership and starts a sync of the membership or the configuration
// if they differ.
func (e *Server) receiveReport(now time.Time, batch *linkpb.Batch) {
	r := batch.Report
	vms := parseVMs(r.Changes)
	if r.Sender != nil && r.Sender.Id == batch.From {
		vms = append(vms, parseVMs([]*linkpb.VM{r.Sender})...)
	}
	if r.Leaving {
		if vm, ok := e.membership.Get(batch.From); ok && vm.Incarnation == batch.Incarnation {
			vm.State = store.StateLeaving
			vms = append(vms, vm)
		}
	}
	if len(e.membership.Merge(now, vms)) > 0 {
		e.membershipDirty.Store(true)
	}
	e.membership.RecordUnreachablePeers(now, batch.From, r.Silent)
	if e.membership.NeedsSync(now, batch.From, r.TableHash) {
		e.fetchTable(batch.From)
	}
	if r.Generation > e.generation() {
		e.fetchFromPeer(batch.From, r.Generation)
	}
}

func (e *Server) receiveSummary(now time.Time, sender store.VM, batch *linkpb.ServiceBatch) {
	e.membership.UpdateLoad(now, zone.ServiceLoad{
		Zone: sender.Zone, VM: sender.ID, Service: batch.Service,
		Slots: int(batch.Summary.Slots), Idle: int(batch.Summary.Idle), Queued: int(batch.Summary.Queued),
	})
}

// fetchTable fetches and merges the whole membership table of a peer.
func (e *Server) fetchTable(peer string) {
	vm, ok := e.membership.Get(peer)
	if !ok {
		return
	}
	e.group.Go(func() error {
		e.fetchTableFrom(vm.LinkAddress)
		return nil
	})
}

func (e *Server) fetchTableFrom(address string) bool {
	ctx, cancel := context.WithTimeout(e.ctx, peerStateTimeout)
	defer cancel()
	state, err := e.linkClient.State(ctx, address, &linkpb.StateRequest{Table: true})
	if err != nil {
		return false
	}
	if len(e.membership.Merge(time.Now(), parseVMs(state.Table))) > 0 {
		e.membershipDirty.Store(true)
	}
	return true
}

// State returns the requested parts of the state.
func (e *Server) State(_ context.Context, r *linkpb.StateRequest) (*linkpb.StateResponse, error) {
	response := &linkpb.StateResponse{TableHash: e.membership.Hash()}
	if r.Table {
		response.Table = vmMessages(e.membership.Snapshot())
	}
	if r.Entries {
		response.Entries = vmMessages(append(e.membership.AllPeers(), e.selfState()))
	}
	f := e.activeConfig.Load()
	if f == nil {
		return response, nil
	}
	return response, e.addConfiguration(f, r, response)
}

// addConfiguration adds the requested record, set and patch to the response.
func (e *Server) addConfiguration(f *activeConfig, r *linkpb.StateRequest, response *linkpb.StateResponse) error {
	var err error
	if r.Record {
		if response.Record, err = encodeRecord(f.record); err != nil {
			return err
		}
	}
	if r.Set == string(f.record.Digest) {
		if response.Set, err = f.set.Encode(); err != nil {
			return err
		}
	}
	if f.previous != nil && r.ChangeTo == string(f.record.Digest) && r.ChangeFrom == string(f.previousDigest) {
		response.Change = contract.NewPatch(f.previous, f.set).Encode()
	}
	return nil
}

// Forward runs a submission of another entry VM and returns its answer.
func (e *Server) Forward(ctx context.Context, r *linkpb.ForwardRequest) (*linkpb.Answer, error) {
	s, err := parseSubmission(r.Submission)
	if err != nil {
		return nil, err
	}
	kind, err := e.checkSubmission(&s)
	if err != nil {
		return answerMessage(refusalOf(s.ID, err)), nil
	}
	rec, err := e.startForwarded(s, kind, r)
	if err != nil {
		return answerMessage(job.Answer{ID: s.ID, Outcome: job.Unknown, Reason: err.Error()}), nil
	}
	answer := awaitRecord(ctx, rec, time.Until(s.Deadline)+answerGrace)
	if r.OnBehalf {
		e.delegated.remove(rec)
	}
	return answerMessage(answer), nil
}

// startForwarded starts a forwarded submission unless its id was used before.
func (e *Server) startForwarded(s job.Submission, kind contract.Kind, r *linkpb.ForwardRequest) (*jobRecord, error) {
	rec := newJobRecord(s, kind)
	if r.OnBehalf {
		if !e.delegated.addForwarded(rec) {
			return nil, errDuplicate
		}
		e.dispatch(rec, dispatch.Submit{Forwarded: true, IfIdle: r.IfIdle})
		return rec, nil
	}
	if !e.isHome(s.ID) {
		return nil, fmt.Errorf("entry VM %q did not issue the id", e.config.VM)
	}
	earlier, err := e.registry.redeem(time.Now(), rec)
	switch {
	case errors.Is(err, errDuplicate):
		return earlier, nil
	case err != nil:
		return nil, err
	}
	e.dispatch(rec, dispatch.Submit{})
	return rec, nil
}

// Lookup returns the answer of an id whose home is this VM.
func (e *Server) Lookup(ctx context.Context, r *linkpb.LookupRequest) (*linkpb.Answer, error) {
	id, err := job.ParseID(r.Id)
	if err != nil {
		return nil, err
	}
	rec, ok := e.registry.find(id)
	if !ok {
		return answerMessage(job.Answer{ID: id, Outcome: job.Unknown, Reason: errUnknownJob.Error()}), nil
	}
	const longest = uint64(time.Minute / time.Millisecond)
	wait := time.Duration(min(r.WaitMilliseconds, longest)) * time.Millisecond
	return answerMessage(awaitRecord(ctx, rec, wait)), nil
}

// Cancel cancels a submission whose home is this VM or that runs here on behalf of its home.
func (h peerHandler) Cancel(_ context.Context, r *linkpb.CancelRequest) (*linkpb.Answer, error) {
	id, err := job.ParseID(r.Id)
	if err != nil {
		return nil, err
	}
	rec, ok := h.runningJob(id)
	if !ok {
		rec, ok = h.registry.find(id)
	}
	if !ok {
		return answerMessage(job.Answer{ID: id, Outcome: job.Unknown, Reason: errUnknownJob.Error()}), nil
	}
	h.cancelRecord(rec)
	return answerMessage(rec.current()), nil
}

// peerHandler handles the requests of other entry VMs; its Cancel differs from that for callers.
type peerHandler struct{ *Server }
