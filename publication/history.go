package publication

import (
	"context"
	"fmt"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/store"
)

// History returns the active record and up to MaxHistory records before it, newest first.
func (p *Publisher) History(ctx context.Context) ([]Record, error) {
	head, _, err := ReadHead(ctx, p.store)
	if err != nil || head.Generation == 0 {
		return nil, err
	}
	return head.Records(), nil
}

// GenerationNotFoundError means that a generation is not in the history.
type GenerationNotFoundError struct {
	Generation     uint64
	Oldest, Newest uint64 // generations in the history, 0 if nothing was published
}

// Error returns a message with the range of generations in the history.
func (e *GenerationNotFoundError) Error() string {
	if e.Newest == 0 {
		return fmt.Sprintf("generation %d does not exist: nothing has been published yet", e.Generation)
	}
	return fmt.Sprintf("generation %d is not in the history, which holds %d to %d", e.Generation, e.Oldest, e.Newest)
}

// Restore publishes the set of an earlier generation as a new generation. It returns a *GenerationNotFoundError if the
// generation is not in the history, else errors as Publish does.
func (p *Publisher) Restore(ctx context.Context, generation uint64, reason string) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.PublishTimeout)
	defer cancel()
	head, version, err := ReadHead(ctx, p.store)
	if err != nil {
		return Record{}, err
	}
	record, err := head.RecordOf(generation)
	if err != nil {
		return Record{}, err
	}
	set, err := readSet(ctx, p.store, record.Digest)
	if err != nil {
		return Record{}, err
	}
	return p.publish(ctx, &attempt{head: head, version: version, set: set}, reason)
}

// RecordOf returns the record of a generation, or a *GenerationNotFoundError.
func (h Head) RecordOf(generation uint64) (Record, error) {
	for _, r := range h.Records() {
		if r.Generation == generation && generation != 0 {
			return r, nil
		}
	}
	records := h.Records()
	return Record{}, &GenerationNotFoundError{Generation: generation, Oldest: records[len(records)-1].Generation, Newest: h.Generation}
}

// Fetch returns the set of a record. It applies the patch from the set have if it can, and otherwise reads the whole
// set; have may be nil. It returns an error unless the set has the digest of the record.
func Fetch(ctx context.Context, kv store.Store, have *contract.Set, record Record) (*contract.Set, error) {
	if have != nil {
		if set, ok := fetchChange(ctx, kv, have, record.Digest); ok {
			return set, nil
		}
	}
	return readSet(ctx, kv, record.Digest)
}

func fetchChange(ctx context.Context, kv store.Store, have *contract.Set, to contract.Digest) (*contract.Set, bool) {
	from := have.Digest()
	if from == to {
		return have, true
	}
	value, err := kv.Get(ctx, PatchKey(from, to))
	if err != nil {
		return nil, false
	}
	change, err := contract.DecodePatch(value.Data)
	if err != nil || change.To != to {
		return nil, false
	}
	set, err := change.Apply(have)
	return set, err == nil
}

func readSet(ctx context.Context, kv store.Store, digest contract.Digest) (*contract.Set, error) {
	value, err := kv.Get(ctx, SetKey(digest))
	if err != nil {
		return nil, fmt.Errorf("read set %s: %w", digest, err)
	}
	set, err := contract.Decode(value.Data)
	if err != nil {
		return nil, fmt.Errorf("read set %s: %w", digest, err)
	}
	if got := set.Digest(); got != digest {
		return nil, fmt.Errorf("read set %s: the stored set has digest %s", digest, got)
	}
	return set, nil
}
