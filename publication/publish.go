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
	defaultCallTimeout    = 2 * time.Second
	defaultPublishTimeout = 20 * time.Second
	minBackoff            = 10 * time.Millisecond
	maxBackoff            = time.Second
)

// Config holds the parameters of a Publisher; only Store and Author are required.
type Config struct {
	Store  store.Store
	Author string
	Clock  func() time.Time
	// ExpectedGeneration is the generation that the head must have, else Publish returns a *ConflictError; 0 accepts any.
	ExpectedGeneration uint64
	// CallTimeout limits one call of the store, default 2 s.
	CallTimeout time.Duration
	// PublishTimeout limits a whole publication, default 20 s.
	PublishTimeout time.Duration
}

// Publisher publishes sets in the name of one author.
type Publisher struct {
	config     Config
	store      store.Store // applies CallTimeout to each call
	maxHistory int         // earlier records in a new head
}

// NewPublisher returns a publisher with the defaults applied to the config.
func NewPublisher(config Config) *Publisher {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	if config.CallTimeout == 0 {
		config.CallTimeout = defaultCallTimeout
	}
	if config.PublishTimeout == 0 {
		config.PublishTimeout = defaultPublishTimeout
	}
	store := timeoutStore{Store: config.Store, timeout: config.CallTimeout}
	return &Publisher{config: config, store: store, maxHistory: MaxHistory}
}

// ConflictError means that another publication came first and that the rejected one did not take effect.
type ConflictError struct {
	Winner Record
}

// Error returns a message with the author, generation, time and reason of the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("lost a race: %s published generation %d at %s (%s)",
		e.Winner.Author, e.Winner.Generation, e.Winner.Time.Format(time.RFC3339), e.Winner.Reason)
}

// UncertainError means that the store did not respond in time and that the publication may have taken effect.
type UncertainError struct {
	Record Record // its publish ID is in the history if the publication took effect
	Err    error
}

// Error returns a message that tells how to find out whether the publication took effect.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("generation %d may have been published, look for publish id %s in the history: %v",
		e.Record.Generation, e.Record.PublishID, e.Err)
}

// Unwrap returns the last error of the store.
func (e *UncertainError) Unwrap() error { return e.Err }

// Publish makes the set the next generation and returns its record.
//
// It returns a *contract.ValidationError for an invalid set, a *ConflictError if another publication came first, and an
// *UncertainError if it is unknown whether the publication took effect. After any other error it did not.
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
	head        Head
	version     uint64
	set         *contract.Set
	next        Head
	uncertain   bool          // the new head may have been written
	writtenKeys []string      // set and patch keys written for the attempt
	obsolete    []obsoleteKey // keys to delete after the head is swapped
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
	a.next = a.head.next(record, p.maxHistory)
	if err := p.writeSet(ctx, a); err != nil {
		return Record{}, err
	}
	p.findObsolete(ctx, a)
	if err := p.swapHead(ctx, a); err != nil {
		p.handOverKeys(ctx, a.writtenKeys, err)
		return Record{}, err
	}
	p.deleteObsolete(ctx, a.obsolete)
	return record, nil
}

// writeSet writes the set and, if it is smaller than the set, the patch from the previous set.
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
		return nil // entry VMs read the whole set, so publishing also works if the previous set is lost
	}
	change := contract.NewPatch(previous, a.set).Encode()
	if len(change) >= len(data) {
		return nil // entry VMs read the whole set
	}
	if err := p.write(ctx, a, PatchKey(a.head.Digest, a.next.Digest), change); err != nil {
		return fmt.Errorf("write patch: %w", err)
	}
	return nil
}

// write gives the key a new version even if it already holds the data. A concurrent publication that makes the key
// obsolete deletes it at the version read before this write, and so cannot delete data that this one needs. For the
// same reason a write without a response is repeated until one is acknowledged: equal data may be another publisher's
// write.
func (p *Publisher) write(ctx context.Context, a *attempt, key string, data []byte) error {
	a.writtenKeys = append(a.writtenKeys, key)
	return retry(ctx, func() error {
		value, err := p.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		_, err = p.store.CompareAndSwap(ctx, key, value.Version, data)
		return err
	})
}

// swapHead writes the head and determines the outcome if the response is lost. Writing the same record again at the
// same version is safe: at most one of the writes takes effect, and all of them carry the same publish ID.
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
		a.uncertain = a.uncertain || !hadNoEffect(swapErr)
		return p.resolveSwap(ctx, a, swapErr)
	})
	var race *ConflictError
	if err == nil || errors.As(err, &race) || errors.Is(err, store.ErrValueTooLarge) {
		return err
	}
	if !a.uncertain {
		return fmt.Errorf("write head: %w", err)
	}
	return &UncertainError{Record: a.next.Record, Err: err}
}

// hadNoEffect reports whether a failed swap certainly changed nothing. The client joins the errors of several servers,
// so ErrNotApplied from one server is not sufficient if the outcome at another one is unknown.
func hadNoEffect(err error) bool {
	return store.NotApplied(err) && !errors.Is(err, store.ErrOutcomeUnknown)
}

// resolveSwap reads the head back after a failed swap. It returns nil if the swap took effect, a *ConflictError if
// another publication did, and swapErr if the swap has to be repeated.
func (p *Publisher) resolveSwap(ctx context.Context, a *attempt, swapErr error) error {
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
		// Only the list of pending deletes has changed; the swap is repeated at the new version.
		a.version = version
		a.next.PendingDeletes = appendPendingDeletes(a.next, head.PendingDeletes)
	}
	return swapErr
}

// retry repeats a call with exponential backoff until it succeeds, fails permanently, or ctx ends.
func retry(ctx context.Context, call func() error) error {
	pause := minBackoff
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
		pause = min(2*pause, maxBackoff)
	}
}
