package publication

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/store"
)

const (
	defaultCallTimeout   = 2 * time.Second
	defaultSettleTimeout = 20 * time.Second
	firstPause           = 10 * time.Millisecond
	longestPause         = time.Second
)

// Config is the construction of a Publisher; only Store and Author are required.
type Config struct {
	Store  store.Store
	Author string
	Clock  func() time.Time
	// ExpectedGeneration refuses the publication with a *ConflictError unless the head has this generation; 0 accepts any.
	ExpectedGeneration uint64
	// CallTimeout bounds one call of the store, default 2 s.
	CallTimeout time.Duration
	// PublishTimeout bounds a whole publication, default 20 s.
	PublishTimeout time.Duration
}

// Publisher publishes sets on behalf of one author.
type Publisher struct {
	config  Config
	store   store.Store // with a bound on each call
	history int         // earlier records that a new head keeps
}

// NewPublisher returns a publisher.
func NewPublisher(config Config) *Publisher {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	if config.CallTimeout == 0 {
		config.CallTimeout = defaultCallTimeout
	}
	if config.PublishTimeout == 0 {
		config.PublishTimeout = defaultSettleTimeout
	}
	store := timedStore{Store: config.Store, timeout: config.CallTimeout}
	return &Publisher{config: config, store: store, history: MaxHistory}
}

// ConflictError means that another publication came first; nothing of the refused one is in force.
type ConflictError struct {
	Winner Record
}

// Error names the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("lost a race: %s published generation %d at %s (%s)",
		e.Winner.Author, e.Winner.Generation, e.Winner.Time.Format(time.RFC3339), e.Winner.Reason)
}

// UncertainError means that the store did not answer in time and that the publication may have taken effect.
type UncertainError struct {
	Record Record // the generation it would have, with the publish id to look for in the history
	Err    error
}

// Error says how to find out what became of the publication.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("generation %d may have been published, look for publish id %s in the history: %v",
		e.Record.Generation, e.Record.PublishID, e.Err)
}

// Unwrap returns the last error of the store.
func (e *UncertainError) Unwrap() error { return e.Err }

// Publish makes the set the next generation and returns its record.
//
// It returns a *contract.ValidationError for a set that is refused, a *ConflictError when another publication came first, and
// an *UncertainError when it is unknown whether the publication took effect. After any other error it did not.
func (p *Publisher) Publish(ctx context.Context, set *contract.Set, reason string) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.PublishTimeout)
	defer cancel()
	head, version, err := ReadHead(ctx, p.store)
	if err != nil {
		return Record{}, err
	}
	return p.publish(ctx, &attempt{head: head, version: version, set: set}, reason)
}

// attempt is a publication on top of the head that was read first.
type attempt struct {
	head    Head
	version uint64
	set     *contract.Set
	next    Head
	unclear bool       // the head may have been written
	written []string   // keys written for it
	stale   []staleKey // keys to delete after it
}

func (p *Publisher) publish(ctx context.Context, a *attempt, reason string) (Record, error) {
	if p.config.ExpectedGeneration != 0 && a.head.Generation != p.config.ExpectedGeneration {
		return Record{}, &ConflictError{Winner: a.head.Record}
	}
	if problems := a.set.Validate(); len(problems) > 0 {
		return Record{}, &contract.ValidationError{Problems: problems}
	}
	record := Record{
		Generation: a.head.Generation + 1,
		Digest:     a.set.Digest(),
		Author:     p.config.Author,
		Time:       p.config.Clock().UTC().Truncate(time.Millisecond),
		Reason:     reason,
		PublishID:  rand.Text(),
	}
	if err := record.check(); err != nil {
		return Record{}, err
	}
	a.next = a.head.next(record, p.history)
	if err := p.writeSet(ctx, a); err != nil {
		return Record{}, err
	}
	p.findStale(ctx, a)
	if err := p.swapHead(ctx, a); err != nil {
		p.abandon(ctx, a.written, err)
		return Record{}, err
	}
	p.deleteStale(ctx, a.stale)
	return record, nil
}

// writeSet writes the set and the change that leads to it.
func (p *Publisher) writeSet(ctx context.Context, a *attempt) error {
	data, err := a.set.Encode()
	if err != nil {
		return err
	}
	if err := p.write(ctx, a, SetKey(a.next.Digest), data); err != nil {
		return fmt.Errorf("write set: %w", err)
	}
	if a.head.Generation == 0 || a.head.Digest == a.next.Digest {
		return nil
	}
	previous, err := readSet(ctx, p.store, a.head.Digest)
	if err != nil {
		return nil // entry VMs read the whole set, and a new one can replace one that is lost
	}
	change := contract.NewPatch(previous, a.set).Encode()
	if len(change) >= len(data) {
		return nil // entry VMs read the whole set
	}
	if err := p.write(ctx, a, PatchKey(a.head.Digest, a.next.Digest), change); err != nil {
		return fmt.Errorf("write change: %w", err)
	}
	return nil
}

// write gives the key a new version even when it already holds the data. A publication that retires the key at the same
// time deletes it at the version read before this write, and so cannot delete what this one needs. For the same reason
// a write with a lost answer is repeated until one is acknowledged: equal data may be another publisher's write.
func (p *Publisher) write(ctx context.Context, a *attempt, key string, data []byte) error {
	a.written = append(a.written, key)
	return retry(ctx, func() error {
		value, err := p.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		_, err = p.store.CompareAndSwap(ctx, key, value.Version, data)
		return err
	})
}

// swapHead writes the head and finds out what became of it when the answer is lost. Writing the same record again at
// the same version is safe: at most one of the writes takes effect, and all of them carry the same publish id.
func (p *Publisher) swapHead(ctx context.Context, a *attempt) error {
	err := retry(ctx, func() error {
		data, err := a.next.Encode()
		if err != nil {
			return err
		}
		_, swapErr := p.store.CompareAndSwap(ctx, HeadKey, a.version, data)
		if swapErr == nil || errors.Is(swapErr, store.ErrValueTooLarge) {
			return swapErr
		}
		a.unclear = a.unclear || !hadNoEffect(swapErr)
		return p.settle(ctx, a, swapErr)
	})
	var race *ConflictError
	if err == nil || errors.As(err, &race) || errors.Is(err, store.ErrValueTooLarge) {
		return err
	}
	if !a.unclear {
		return fmt.Errorf("write head: %w", err)
	}
	return &UncertainError{Record: a.next.Record, Err: err}
}

// hadNoEffect says whether a swap certainly changed nothing. The client joins the errors of several servers, so one
// server without an effect proves nothing if another one is uncertain.
func hadNoEffect(err error) bool {
	return store.NotApplied(err) && !errors.Is(err, store.ErrOutcomeUnknown)
}

// settle reads the head back after a swap without a clear answer.
func (p *Publisher) settle(ctx context.Context, a *attempt, swapErr error) error {
	head, version, err := ReadHead(ctx, p.store)
	if err != nil {
		return errors.Join(swapErr, err)
	}
	if _, found := head.find(a.next.PublishID); found {
		return nil
	}
	if head.Generation > a.head.Generation {
		return &ConflictError{Winner: head.Record}
	}
	if version > a.version {
		// Only the list of retired keys has changed; the swap is repeated on top of it.
		a.version = version
		a.next.PendingDeletes = appendRetired(a.next, head.PendingDeletes)
	}
	return swapErr
}

// retry repeats a call with growing pauses until it succeeds, is refused for good, or ctx ends.
func retry(ctx context.Context, call func() error) error {
	pause := firstPause
	for {
		err := call()
		var race *ConflictError
		if err == nil || errors.As(err, &race) || errors.Is(err, store.ErrValueTooLarge) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(pause):
		}
		pause = min(2*pause, longestPause)
	}
}
