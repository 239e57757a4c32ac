package job

import (
	"strconv"
	"strings"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// Step is a number of equal tasks of a Work.
type Step struct {
	Count         int
	Need          worker.Resources // of each task
	Estimate      time.Duration    // rough run time of a task, as the caller declares it
	After         []int            // earlier steps whose tasks must all be done before
	RequiredLabel string           // label that the worker must have
	DataRack      string           // rack on which the tasks run fastest
	MaxPerWorker  int              // most tasks of the step on one worker at a time, 0 for any number
	Unsupported   string           // feature of the step that this dispatcher does not offer
}

// Work is a submission whose tasks run on workers.
type Work struct {
	ID         string // chosen by the caller
	Spec       string // passed on to the workers
	Steps      []Step
	BestEffort bool // the caller waits for the end, and nothing is stored
}

// Policy is what the configuration says about the work of a route.
type Policy struct {
	Route       string
	Service     string
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // failed runs of a task after which the work has failed
	Stretch     float64       // the objective is the ideal run time multiplied by it ...
	Target      time.Duration // ... and this added
	Timeout     time.Duration
}

// TaskName returns the name of a task of the work on workers.
func TaskName(id string, step, index int) string {
	return id + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
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
	return parts[0], step, index, true
}
