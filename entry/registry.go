package entry

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/store"
)

// Times for which the registry remembers what it has seen.
const (
	answerLifetime = 2 * time.Minute
	ticketLifetime = 10 * time.Minute
)

// Bounds of the registry over all shards.
const (
	maxTickets     = 1 << 20
	maxAnswers     = 1 << 18
	maxAnswerBytes = 64 << 20
)

const registryShards = 32

// Errors of the registry.
var (
	errDuplicate      = errors.New("the submission was already accepted")
	errUnknownJob     = errors.New("the id is unknown here or no longer remembered")
	errTooManyTickets = errors.New("too many unused tickets; submit without a ticket or retry later")
)

// record is a submission from its acceptance until its answer is no longer remembered.
type record struct {
	submission job.Submission // the bodies are guarded by mu
	kind       contract.Kind
	tasks      int
	accepted   time.Time
	registry   *registry     // that holds it
	done       chan struct{} // closed when answer is set
	cancelled  atomic.Bool
	delegate   atomic.Pointer[store.VM] // the entry VM that runs it, while it is forwarded
	orphan     atomic.Bool              // another VM may have run it and gave no answer

	mu      sync.Mutex
	results []job.Result
	answer  job.Answer
}

func newRecord(s job.Submission, kind contract.Kind) *record {
	return &record{
		submission: s,
		kind:       kind,
		tasks:      len(s.Bodies),
		accepted:   time.Now(),
		done:       make(chan struct{}),
		results:    make([]job.Result, len(s.Bodies)),
	}
}

// contentType returns the content type of the bodies.
func (r *record) contentType() string {
	if r.submission.ContentType == "" {
		return "application/json"
	}
	return r.submission.ContentType
}

// allBodies returns the bodies of all tasks, or nil after the answer.
func (r *record) allBodies() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.submission.Bodies
}

// setResult stores the result of a task; a second result of the same task is ignored.
func (r *record) setResult(task int, result job.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.results != nil && r.results[task].Status == 0 {
		r.results[task] = result
	}
}

// finish sets the answer once and wakes the callers that wait for it.
func (r *record) finish(answer job.Answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answer.Outcome != job.Pending {
		return false
	}
	if answer.Outcome == job.Complete && answer.Results == nil {
		answer = r.withResults(answer)
	}
	r.results = nil
	r.submission.Bodies = nil
	r.answer = answer
	close(r.done)
	return true
}

// withResults adds the results to a complete answer; the caller holds mu. A missing result would make the answer partial.
func (r *record) withResults(answer job.Answer) job.Answer {
	for task, result := range r.results {
		if result.Status == 0 {
			reason := fmt.Sprintf("the result of task %d is missing", task)
			return job.Answer{ID: answer.ID, Outcome: job.Unknown, Reason: reason}
		}
	}
	answer.Results = r.results
	return answer
}

// body returns the body of a task, or nil after the answer.
func (r *record) body(task int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if task >= len(r.submission.Bodies) {
		return nil
	}
	return r.submission.Bodies[task]
}

// answerSize returns the bytes that the results of the answer take.
func (r *record) answerSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := 0
	for _, result := range r.answer.Results {
		size += len(result.Body)
	}
	return size
}

// current returns the answer, which is Pending until finish.
func (r *record) current() job.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := r.answer
	answer.ID = r.submission.ID
	return answer
}

// registry holds the submissions whose home is this VM, in shards by sequence number.
type registry struct {
	shards  [registryShards]registryShard
	pending atomic.Int64 // submissions without an answer
}

type registryShard struct {
	mu       sync.Mutex
	records  map[job.ID]*record
	tickets  map[job.ID]time.Time
	answered []answeredRecord // in the order in which they expire
	bytes    int              // of the results in answered
}

type answeredRecord struct {
	rec     *record
	expires time.Time
	bytes   int
}

func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].records = make(map[job.ID]*record)
		r.shards[i].tickets = make(map[job.ID]time.Time)
	}
	return r
}

func (r *registry) shard(id job.ID) *registryShard {
	return &r.shards[id.Sequence%registryShards]
}

// addTicket remembers an id that was handed out and not used yet.
func (r *registry) addTicket(now time.Time, id job.ID) error {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tickets) >= maxTickets/registryShards {
		return errTooManyTickets
	}
	s.tickets[id] = now.Add(ticketLifetime)
	return nil
}

// accept adds a submission under an id that was minted for it just now.
func (r *registry) accept(rec *record) {
	s := r.shard(rec.submission.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.add(s, rec)
}

// add stores a record; the caller holds the lock of the shard.
func (r *registry) add(s *registryShard, rec *record) {
	rec.registry = r
	s.records[rec.submission.ID] = rec
	r.pending.Add(1)
}

// acceptForeign adds a submission whose home is another VM and returns false if it is already here. An
// earlier answer that left the outcome open is dropped, so that the home is asked again.
func (r *registry) acceptForeign(rec *record) bool {
	s := r.shard(rec.submission.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier, ok := s.records[rec.submission.ID]; ok && earlier.current().Outcome != job.Unknown {
		return false
	}
	r.add(s, rec)
	return true
}

// forget drops a record, so that its id is unknown here.
func (r *registry) forget(rec *record) {
	s := r.shard(rec.submission.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[rec.submission.ID] == rec {
		delete(s.records, rec.submission.ID)
	}
}

// redeem adds a submission under a ticket. It returns the earlier record with errDuplicate when the
// ticket was used before, and errUnknownJob when the ticket was never handed out or has expired.
func (r *registry) redeem(now time.Time, rec *record) (*record, error) {
	s := r.shard(rec.submission.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier, ok := s.records[rec.submission.ID]; ok {
		return earlier, errDuplicate
	}
	expires, ok := s.tickets[rec.submission.ID]
	if !ok || now.After(expires) {
		return nil, errUnknownJob
	}
	delete(s.tickets, rec.submission.ID)
	r.add(s, rec)
	return rec, nil
}

// find returns the record of an id.
func (r *registry) find(id job.ID) (*record, bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[id]
	return rec, ok
}

// answered starts the lifetime of a record's answer and drops the oldest answers beyond the bounds.
func (r *registry) answered(now time.Time, rec *record) {
	r.pending.Add(-1)
	size := rec.answerSize()
	s := r.shard(rec.submission.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = append(s.answered, answeredRecord{rec: rec, expires: now.Add(answerLifetime), bytes: size})
	s.bytes += size
	for len(s.answered) > maxAnswers/registryShards || s.bytes > maxAnswerBytes/registryShards {
		s.dropOldest()
	}
}

func (s *registryShard) dropOldest() {
	oldest := s.answered[0]
	if s.records[oldest.rec.submission.ID] == oldest.rec {
		delete(s.records, oldest.rec.submission.ID)
	}
	s.bytes -= oldest.bytes
	s.answered[0] = answeredRecord{}
	s.answered = s.answered[1:]
}

// expire drops answers and tickets that are no longer remembered.
func (r *registry) expire(now time.Time) {
	for i := range r.shards {
		r.shards[i].expire(now)
	}
}

func (s *registryShard) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.answered) > 0 && now.After(s.answered[0].expires) {
		s.dropOldest()
	}
	for id, expires := range s.tickets {
		if now.After(expires) {
			delete(s.tickets, id)
		}
	}
}
