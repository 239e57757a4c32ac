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

// Lifetimes of answers and unused tickets in the registry.
const (
	answerTTL = 2 * time.Minute
	ticketTTL = 10 * time.Minute
)

// Limits of the registry, over all shards.
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

// jobRecord is a submission from its acceptance until its answer expires.
type jobRecord struct {
	submission job.Submission // the bodies are guarded by mu
	kind       contract.Kind
	tasks      int
	accepted   time.Time
	registry   *registry     // registry that contains the record
	done       chan struct{} // closed when answer is set
	cancelled  atomic.Bool
	delegate   atomic.Pointer[store.VM] // the entry VM that runs it, while it is forwarded
	mayHaveRun atomic.Bool              // another VM may have run the job but gave no answer

	mu      sync.Mutex
	results []job.Result
	answer  job.Answer
}

func newJobRecord(s job.Submission, kind contract.Kind) *jobRecord {
	return &jobRecord{
		submission: s,
		kind:       kind,
		tasks:      len(s.Bodies),
		accepted:   time.Now(),
		done:       make(chan struct{}),
		results:    make([]job.Result, len(s.Bodies)),
	}
}

// contentType returns the content type of the bodies.
func (r *jobRecord) contentType() string {
	if r.submission.ContentType == "" {
		return "application/json"
	}
	return r.submission.ContentType
}

// allBodies returns the bodies of all tasks, or nil after the answer.
func (r *jobRecord) allBodies() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.submission.Bodies
}

// setResult stores the result of a task; a second result of the same task is ignored.
func (r *jobRecord) setResult(task int, result job.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.results != nil && r.results[task].Status == 0 {
		r.results[task] = result
	}
}

// finish sets the answer and wakes the waiting callers; it returns false if the answer was set before.
func (r *jobRecord) finish(answer job.Answer) bool {
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

// withResults adds the results to a complete answer, or returns an Unknown answer if one is missing; the caller holds
// mu.
func (r *jobRecord) withResults(answer job.Answer) job.Answer {
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
func (r *jobRecord) body(task int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if task >= len(r.submission.Bodies) {
		return nil
	}
	return r.submission.Bodies[task]
}

// answerSize returns the size of the results of the answer in bytes.
func (r *jobRecord) answerSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := 0
	for _, result := range r.answer.Results {
		size += len(result.Body)
	}
	return size
}

// current returns the answer, which is Pending until finish.
func (r *jobRecord) current() job.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := r.answer
	answer.ID = r.submission.ID
	return answer
}

// registry holds submissions by id, in shards by sequence number.
type registry struct {
	shards  [registryShards]registryShard
	pending atomic.Int64 // submissions without an answer
}

type registryShard struct {
	mu       sync.Mutex
	records  map[job.ID]*jobRecord
	tickets  map[job.ID]time.Time
	answered []answeredRecord // in the order in which they expire
	bytes    int              // of the results in answered
}

type answeredRecord struct {
	rec     *jobRecord
	expires time.Time
	bytes   int
}

func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].records = make(map[job.ID]*jobRecord)
		r.shards[i].tickets = make(map[job.ID]time.Time)
	}
	return r
}

func (r *registry) shard(id job.ID) *registryShard {
	return &r.shards[id.Sequence%registryShards]
}

// addTicket stores an id that was issued as a ticket.
func (r *registry) addTicket(now time.Time, id job.ID) error {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tickets) >= maxTickets/registryShards {
		return errTooManyTickets
	}
	s.tickets[id] = now.Add(ticketTTL)
	return nil
}

// addNew adds a submission with a new id.
func (r *registry) addNew(rec *jobRecord) {
	s := r.shard(rec.submission.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.add(s, rec)
}

// add stores a record; the caller holds the lock of the shard.
func (r *registry) add(s *registryShard, rec *jobRecord) {
	rec.registry = r
	s.records[rec.submission.ID] = rec
	r.pending.Add(1)
}

// addForwarded adds a submission whose home is another VM and returns false if it is already present. It replaces a
// record with an Unknown answer, so that the home is asked again.
func (r *registry) addForwarded(rec *jobRecord) bool {
	s := r.shard(rec.submission.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier, ok := s.records[rec.submission.ID]; ok && earlier.current().Outcome != job.Unknown {
		return false
	}
	r.add(s, rec)
	return true
}

// remove deletes a record, so that its id becomes unknown here.
func (r *registry) remove(rec *jobRecord) {
	s := r.shard(rec.submission.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[rec.submission.ID] == rec {
		delete(s.records, rec.submission.ID)
	}
}

// redeem adds a submission with the id of a ticket. It returns the earlier record with errDuplicate if the ticket was
// used before, and errUnknownJob if the ticket was never issued or has expired.
func (r *registry) redeem(now time.Time, rec *jobRecord) (*jobRecord, error) {
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
func (r *registry) find(id job.ID) (*jobRecord, bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[id]
	return rec, ok
}

// markAnswered starts the lifetime of a record's answer and drops the oldest answers above the limits.
func (r *registry) markAnswered(now time.Time, rec *jobRecord) {
	r.pending.Add(-1)
	size := rec.answerSize()
	s := r.shard(rec.submission.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = append(s.answered, answeredRecord{rec: rec, expires: now.Add(answerTTL), bytes: size})
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

// expire drops expired answers and tickets.
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
