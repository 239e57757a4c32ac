package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"samphireplank.example/samphireplank/store"
)

// A cancellation is written into the entry of the job, so that whoever has the job or takes it over later reads it there: the holder of its
// group, the next holder, or another group. Each occurrence of a scheduled job has an entry of its own, perhaps in another group than the
// scheduled job. The entry of the scheduled job is cancelled first, since no occurrence is stored once its revision has changed, then those
// of the stored occurrences, and only then is the cancellation confirmed.

// Cancel cancels a job and returns its state afterwards; JobTombstone means that there was no such job. After ErrStoreUnavailable the job may be
// cancelled in part, and the request has to be repeated.
func (g *Gateway) Cancel(ctx context.Context, id string) (JobState, error) {
	active := g.cancelActive(id)
	// The client of a job in progress here may have sent it to another VM as well, and may send it again.
	state, err := g.cancelStored(ctx, id)
	if active && state == JobTombstone {
		state = JobCancelled
	}
	return state, err
}

// cancelStored cancels a job in the store. Its results are those of Cancel.
func (g *Gateway) cancelStored(ctx context.Context, id string) (JobState, error) {
	for {
		state, err := g.cancelOnce(ctx, id)
		if err == nil {
			return state, nil
		}
		if ctx.Err() != nil || errors.Is(err, errMalformedEntry) {
			return JobUnknown, errors.Join(ErrStoreUnavailable, err)
		}
		pause(ctx, commitRetryDelay)
	}
}

// cancelOnce does what cancelStored does, once. After store.ErrConflict the job has changed meanwhile.
func (g *Gateway) cancelOnce(ctx context.Context, id string) (JobState, error) {
	open, err := g.cancelEntry(ctx, id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return g.storeTombstone(ctx, id)
	case err != nil:
		return JobUnknown, err
	case isTombstone(open):
		return JobTombstone, nil
	case !isScheduled(open):
		return JobCancelled, nil
	}
	switch _, left, err := g.cancelStoredOccurrences(ctx, id); {
	case err != nil:
		return JobUnknown, err
	case left > 0:
		return JobUnknown, store.ErrConflict
	}
	return JobCancelled, nil
}

// A job may also be stored after its cancellation, since a write of its submission was delayed, or is yet to be sent by the VM that has the
// request. The cancellation of an unknown job is therefore stored as a tombstone: an entry without group and work, which keeps the job from
// being stored until it is removed as the entries of ended jobs are. The job may also be a best-effort one, which is not stored and is in
// progress at another VM, so the holders of all groups read tombstones and cancel it.

// isTombstone reports whether an entry is a tombstone.
func isTombstone(j openJob) bool { return j.Cancelled && j.Group == "" }

// tombstoneSpacing limits a VM to 20 of these writes a second, of the 400 that the store handles for all VMs on the users' small sites, with
// up to maxJobsPerWrite ids each. Clients can send any number of requests for ids that do not exist.
const tombstoneSpacing = 50 * time.Millisecond

// storeTombstone cancels a job that is not open, or returns its state if it has ended.
func (g *Gateway) storeTombstone(ctx context.Context, id string) (JobState, error) {
	if state, err := g.endedState(ctx, id); err != nil || state != JobUnknown {
		return state, err
	}
	value, err := json.Marshal(openJob{Accepted: time.Now(), Cancelled: true})
	if err != nil {
		return JobUnknown, err
	}
	item := store.KeyValue{Key: openJobsPrefix + id, Value: value}
	if item.Revision, err = g.tombstones.commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: item.Key}, {Key: endedJobsPrefix + id}}, Puts: []store.KeyValue{item},
	}); err != nil {
		return JobUnknown, err
	}
	g.forwardCancelled("", item)
	g.log.Info().Str("event", "cancel").Str("job", id).Str("outcome", "tombstone").Send()
	return JobTombstone, nil
}

// cancelEntry cancels the entry of a job or of a scheduled job and returns it; the error is store.ErrNotFound if there is none.
func (g *Gateway) cancelEntry(ctx context.Context, name string) (openJob, error) {
	item, err := g.config.Store.Get(ctx, openJobsPrefix+name)
	if err != nil {
		return openJob{}, err
	}
	e, err := decodeEntry(item)
	if err != nil {
		return openJob{}, err
	}
	return e.openJob, g.storeCancelled(ctx, []jobEntry{e})
}

// cancelStoredOccurrences cancels the stored occurrences of a scheduled job once, whichever groups have them. It returns how many there are, and
// how many of them have changed meanwhile and are not cancelled yet.
func (g *Gateway) cancelStoredOccurrences(ctx context.Context, series string) (stored, left int, err error) {
	snapshot, err := g.config.Store.Range(ctx, openJobsPrefix+series+".")
	if err != nil {
		return 0, 0, err
	}
	entries := make([]jobEntry, 0, len(snapshot.Items))
	for _, item := range snapshot.Items {
		e, err := decodeEntry(item)
		if err != nil {
			return 0, 0, err
		}
		entries = append(entries, e)
	}
	for start := 0; start < len(entries); start += maxJobsPerWrite {
		batch := entries[start:min(start+maxJobsPerWrite, len(entries))]
		if err = g.storeCancelled(ctx, batch); err == nil {
			continue
		}
		if !errors.Is(err, store.ErrConflict) {
			return 0, 0, err
		}
		// One that has changed must not keep the others from being cancelled.
		for i := range batch {
			switch err := g.storeCancelled(ctx, batch[i:i+1]); {
			case errors.Is(err, store.ErrConflict):
				left++
			case err != nil:
				return 0, 0, err
			}
		}
	}
	return len(entries), left, nil
}

// jobEntry is the entry of an open job in the store.
type jobEntry struct {
	openJob
	item store.KeyValue
}

// errMalformedEntry means that an entry cannot be decoded, for example since a later version has written it.
var errMalformedEntry = errors.New("the entry of the job cannot be decoded")

func decodeEntry(item store.KeyValue) (jobEntry, error) {
	e := jobEntry{item: item}
	if err := json.Unmarshal(item.Value, &e.openJob); err != nil {
		return jobEntry{}, errors.Join(errMalformedEntry, err)
	}
	return e, nil
}

// storeCancelled cancels entries in one write, unless one of them has changed, and passes them to the holders of their groups. Those that are
// cancelled already are passed on as well, since the VM that has cancelled them may have been lost before it could.
func (g *Gateway) storeCancelled(ctx context.Context, entries []jobEntry) error {
	var t store.Transaction
	var changed []*jobEntry
	for i := range entries {
		e := &entries[i]
		if e.Cancelled {
			continue
		}
		cancelled := e.openJob
		cancelled.Cancelled = true
		value, err := json.Marshal(cancelled)
		if err != nil {
			return err
		}
		t.Conditions = append(t.Conditions, store.Condition{Key: e.item.Key, Revision: e.item.Revision})
		t.Puts = append(t.Puts, store.KeyValue{Key: e.item.Key, Value: value})
		changed = append(changed, e)
	}
	if len(changed) > 0 {
		sent := time.Now()
		revision, err := g.config.Store.Commit(ctx, t)
		if err != nil {
			return err
		}
		for i, e := range changed {
			e.Cancelled, e.item.Value, e.item.Revision = true, t.Puts[i].Value, revision
			g.log.Info().Str("event", "cancel").Str("job", trimOpenPrefix(e.item.Key)).Str("group", e.Group).Int64("revision", revision).
				Int64("took-ms", time.Since(sent).Milliseconds()).Str("outcome", "stored").Send()
		}
	}
	for _, e := range entries {
		g.forwardCancelled(e.Group, e.item)
	}
	return nil
}

// forwardCancelled passes a cancelled entry to the holder of its group, or to all holders if it has none.
func (g *Gateway) forwardCancelled(group string, item store.KeyValue) {
	if group != "" {
		g.forwardToHolder(group, item)
		return
	}
	for group := range g.holders() {
		g.forwardToHolder(group, item)
	}
}
