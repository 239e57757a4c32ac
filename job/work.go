package job

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// Step is a number of equal tasks of a Work.
type Step struct {
	Count         int              `json:"count,omitempty"`
	Need          worker.Resources `json:"need,omitempty"`           // of each task
	Estimate      time.Duration    `json:"estimate,omitempty"`       // rough run time of a task, as the caller declares it
	After         []int            `json:"after,omitempty"`          // earlier steps whose tasks must all be done before
	RequiredLabel string           `json:"required-label,omitempty"` // label that the worker must have
	DataRack      string           `json:"data-rack,omitempty"`      // rack on which the tasks run fastest
	MaxPerWorker  int              `json:"max-per-worker,omitempty"` // most tasks of the step on one worker at a time, 0 for any number
	Checkpointing bool             `json:"checkpointing,omitempty"`  // a task that ends early can go on from its newest checkpoint
	Lasting       bool             `json:"lasting,omitempty"`        // the tasks run until the work is cancelled and start again however they end
	MaxDisrupted  int              `json:"max-disrupted,omitempty"`  // most tasks of a lasting step that may be away by the dispatcher's doing
	Gang          bool             `json:"gang,omitempty"`           // the tasks work only together
	SameRack      bool             `json:"same-rack,omitempty"`      // the tasks of a gang run fastest on one rack
	Unsupported   string           `json:"unsupported,omitempty"`    // feature of the step that this dispatcher does not offer
}

// Work is a submission whose tasks run on workers.
type Work struct {
	ID         string   `json:"id,omitempty"`   // chosen by the caller
	Spec       string   `json:"spec,omitempty"` // passed on to the workers
	Steps      []Step   `json:"steps,omitempty"`
	Schedule   Schedule `json:"schedule,omitzero"`
	BestEffort bool     `json:"best-effort,omitempty"` // the caller waits for the end, and nothing is stored; otherwise the job outlives every VM
}

// PerWorker returns how many tasks of the step an empty worker runs at a time.
func (s Step) PerWorker(w worker.Worker) int {
	fit := s.Need.CountIn(w.Capacity)
	if s.MaxPerWorker > 0 {
		fit = min(fit, s.MaxPerWorker)
	}
	return fit
}

// IsLongRunning says whether the work has a step that lasts.
func (w Work) IsLongRunning() bool {
	return slices.ContainsFunc(w.Steps, func(s Step) bool { return s.Lasting })
}

// Policy is what the configuration says about the work of a route.
type Policy struct {
	Route       string        `json:"route,omitempty"`
	Service     string        `json:"service,omitempty"`
	Priority    int           `json:"priority,omitempty"`     // 0 is the most urgent
	MaxAttempts int           `json:"max-attempts,omitempty"` // failed runs of a task after which the work has failed
	Stretch     float64       `json:"stretch,omitempty"`      // the objective is the ideal run time multiplied by it ...
	Target      time.Duration `json:"target,omitempty"`       // ... and this added
	Timeout     time.Duration `json:"timeout,omitempty"`
	Tickets     bool          `json:"tickets,omitempty"` // workers start tasks with a ticket of another service only
}

// Schedule says when the steps of a work run; the zero value stands for once, at once.
type Schedule struct {
	Count    int           `json:"count,omitempty"` // occurrences
	First    time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// TimeOf returns the time of an occurrence, counted from 0.
func (s Schedule) TimeOf(occurrence int) time.Time {
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// OccurrenceID returns the id under which an occurrence of a scheduled work runs. The tasks of the first one have the names
// that the work would have without a schedule.
func OccurrenceID(id string, occurrence int) string {
	if occurrence == 0 {
		return id
	}
	return id + "." + strconv.Itoa(occurrence)
}

// TaskName returns the name of a task on workers; the id may be one of an occurrence.
func TaskName(id string, step, index int) string {
	if !strings.Contains(id, ".") {
		id += ".0"
	}
	return id + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// ParseTaskName splits the name of a task; false means that it has another form.
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
