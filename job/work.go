package job

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// Step is a set of equal tasks of a Work.
type Step struct {
	Count         int              `json:"count,omitempty"`
	Need          worker.Resources `json:"need,omitempty"`           // of each task
	Estimate      time.Duration    `json:"estimate,omitempty"`       // rough run time of a task, declared by the caller
	After         []int            `json:"after,omitempty"`          // indexes of earlier steps that must be done before
	RequiredLabel string           `json:"required-label,omitempty"` // label that a worker must have
	DataRack      string           `json:"data-rack,omitempty"`      // rack on which the tasks run fastest
	MaxPerWorker  int              `json:"max-per-worker,omitempty"` // max concurrent tasks of the step per worker, 0 for no limit
	Checkpointing bool             `json:"checkpointing,omitempty"`  // a task that ends early can resume from its latest checkpoint
	Lasting       bool             `json:"lasting,omitempty"`        // tasks run until the work is cancelled and are restarted when they end
	MaxDisrupted  int              `json:"max-disrupted,omitempty"`  // max long-running tasks that the dispatcher may interrupt at a time
	Gang          bool             `json:"gang,omitempty"`           // the tasks must run at the same time
	SameRack      bool             `json:"same-rack,omitempty"`      // the tasks of a gang run fastest on a common rack
	Image         string           `json:"image,omitempty"`          // program of the tasks; tasks of one image behave alike
	Unsupported   string           `json:"unsupported,omitempty"`    // feature of the step that this dispatcher does not support
}

// Work is a job whose tasks run on workers.
type Work struct {
	ID         string   `json:"id,omitempty"`   // chosen by the caller
	Spec       string   `json:"spec,omitempty"` // passed on to the workers
	Steps      []Step   `json:"steps,omitempty"`
	Schedule   Schedule `json:"schedule,omitzero"`
	BestEffort bool     `json:"best-effort,omitempty"` // the caller waits for the end; otherwise the job is durable
}

// PerWorker returns how many tasks of the step an idle worker can run at a time.
func (s Step) PerWorker(w worker.Worker) int {
	fit := s.Need.CountIn(w.Capacity)
	if s.MaxPerWorker > 0 {
		fit = min(fit, s.MaxPerWorker)
	}
	return fit
}

// IsLongRunning reports whether the work has a step of long-running tasks.
func (w Work) IsLongRunning() bool {
	return slices.ContainsFunc(w.Steps, func(s Step) bool { return s.Lasting })
}

// Policy holds the configured settings for the work of a route.
type Policy struct {
	Route       string        `json:"route,omitempty"`
	Service     string        `json:"service,omitempty"`
	Priority    int           `json:"priority,omitempty"`     // 0 is the highest priority
	MaxAttempts int           `json:"max-attempts,omitempty"` // failed runs of a task after which the work fails
	Stretch     float64       `json:"stretch,omitempty"`      // target duration = ideal run time * Stretch + Target
	Target      time.Duration `json:"target,omitempty"`       // see Stretch
	Timeout     time.Duration `json:"timeout,omitempty"`
	Tickets     bool          `json:"tickets,omitempty"` // workers start a task only with a ticket that another service issues
}

// Schedule describes when a work runs; the zero value means once, immediately.
type Schedule struct {
	Count    int           `json:"count,omitempty"` // number of occurrences
	First    time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// TimeOf returns the time of an occurrence; the first one has number 0.
func (s Schedule) TimeOf(occurrence int) time.Time {
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// OccurrenceID returns the id under which an occurrence of a scheduled work runs. The first occurrence has the id of
// the work, so its tasks have the same names as without a schedule.
func OccurrenceID(id string, occurrence int) string {
	if occurrence == 0 {
		return id
	}
	return id + "." + strconv.Itoa(occurrence)
}

// TaskName returns the name by which workers know a task; id may be that of an occurrence.
func TaskName(id string, step, index int) string {
	if !strings.Contains(id, ".") {
		id += ".0"
	}
	return id + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// ParseTaskName splits the name of a task into its parts; ok is false if the name has another form.
func ParseTaskName(name string) (id string, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, false
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return "", 0, 0, false
	}
	if index, err = strconv.Atoi(parts[3]); err != nil {
		return "", 0, 0, false
	}
	if id = parts[0]; parts[1] != "0" {
		id += "." + parts[1]
	}
	return id, step, index, true
}
