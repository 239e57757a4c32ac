package standin

import (
	"bufio"
	"hash/maphash"
	"io"
	"strconv"
	"sync"
	"time"
)

// ledgerShards bounds the contention for a shard's lock; at 10,000 starts/s and 64 shards one is taken 300 times a second.
const ledgerShards = 64

// TaskCounts is what endpoints have seen of one Task-Id.
type TaskCounts struct {
	Starts   uint32 // requests that the endpoint may have run
	Answers  uint32 // answers with status 200
	Refusals uint32 // Not-Run by the guard
	Rejects  uint32 // 4xx
	Busy     time.Duration
}

// TaskCounter counts starts, answers and refusals by Task-Id for all endpoints of a process.
type TaskCounter struct {
	seed   maphash.Seed
	shards [ledgerShards]ledgerShard
}

type ledgerShard struct {
	mu      sync.Mutex
	tasks   map[string]*TaskCounts
	started uint64 // tasks with at least one start
	extra   uint64 // starts over one per task
}

// NewTaskCounter returns an empty TaskCounter.
func NewTaskCounter() *TaskCounter {
	l := &TaskCounter{seed: maphash.MakeSeed()}
	l.Reset()
	return l
}

// Reset forgets all tasks.
func (l *TaskCounter) Reset() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.tasks, s.started, s.extra = map[string]*TaskCounts{}, 0, 0
		s.mu.Unlock()
	}
}

func (l *TaskCounter) update(task []byte, change func(*ledgerShard, *TaskCounts)) {
	s := &l.shards[maphash.Bytes(l.seed, task)%ledgerShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.tasks[string(task)]
	if count == nil {
		count = &TaskCounts{}
		s.tasks[string(task)] = count
	}
	change(s, count)
}

func (l *TaskCounter) start(task []byte) {
	l.update(task, func(s *ledgerShard, count *TaskCounts) {
		count.Starts++
		if count.Starts == 1 {
			s.started++
			return
		}
		s.extra++
	})
}

func (l *TaskCounter) answer(task []byte) {
	l.update(task, func(_ *ledgerShard, count *TaskCounts) { count.Answers++ })
}

func (l *TaskCounter) refuse(task []byte) {
	l.update(task, func(_ *ledgerShard, count *TaskCounts) { count.Refusals++ })
}

func (l *TaskCounter) reject(task []byte) {
	l.update(task, func(_ *ledgerShard, count *TaskCounts) { count.Rejects++ })
}

func (l *TaskCounter) busy(task []byte, d time.Duration) {
	l.update(task, func(_ *ledgerShard, count *TaskCounts) { count.Busy += d })
}

// StartTotals returns the number of tasks that were started and the number of starts over one per task.
func (l *TaskCounter) StartTotals() (tasks, extra uint64) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		tasks, extra = tasks+s.started, extra+s.extra
		s.mu.Unlock()
	}
	return tasks, extra
}

// Task returns the counts of one Task-Id.
func (l *TaskCounter) Task(id string) TaskCounts {
	s := &l.shards[maphash.Bytes(l.seed, []byte(id))%ledgerShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if count := s.tasks[id]; count != nil {
		return *count
	}
	return TaskCounts{}
}

// WriteTo writes a line for each task: Task-Id, starts, answers, refusals, rejects and busy microseconds.
func (l *TaskCounter) WriteTo(w io.Writer) (int64, error) {
	var written int64
	buffered := bufio.NewWriterSize(w, 1<<16)
	var line []byte
	for i := range l.shards {
		for id, count := range l.shards[i].copy() {
			line = appendTask(line[:0], id, count)
			n, err := buffered.Write(line)
			written += int64(n)
			if err != nil {
				return written, err
			}
		}
	}
	return written, buffered.Flush()
}

// copy keeps the lock from being held while a slow reader takes the lines.
func (s *ledgerShard) copy() map[string]TaskCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	tasks := make(map[string]TaskCounts, len(s.tasks))
	for id, count := range s.tasks {
		tasks[id] = *count
	}
	return tasks
}

func appendTask(line []byte, id string, count TaskCounts) []byte {
	line = append(line, id...)
	for _, n := range []uint32{count.Starts, count.Answers, count.Refusals, count.Rejects} {
		line = strconv.AppendUint(append(line, ' '), uint64(n), 10)
	}
	line = strconv.AppendInt(append(line, ' '), count.Busy.Microseconds(), 10)
	return append(line, '\n')
}
