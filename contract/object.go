package contract

import "time"

// Service is a group of endpoints that run the same program.
type Service struct {
	Name           string
	Slots          int           // tasks that one endpoint runs at a time
	MaxConnections int           // connections that one endpoint accepts from all entry VMs of its zone
	Guard          bool          // endpoints refuse tasks beyond their slots with Not-Run
	ProbePath      string        // path of the health probe
	IdleTimeout    time.Duration // endpoints close connections idle for this long
}

// Priority is a class of work with a guaranteed share of the slots.
type Priority struct {
	Name      string
	Rank      int // 1 is the most urgent
	Share     int // guaranteed percent of the slots; all shares add up to 100
	MaxQueued int // queued tasks on one entry VM before jobs are refused
}

// Kind is a kind of work: a path of a service, its priority and its deadline.
type Kind struct {
	Name        string
	Service     string
	Path        string
	Priority    string
	Idempotent  bool
	MaxAttempts int           // most starts of one task; more than 1 only when idempotent
	Deadline    time.Duration // longest time from submission to answer
	RunTime     time.Duration // expected run time of a task until run times were observed
	MaxTasks    int           // most tasks in one job, at most job.MaxTasks
}

// Limit bounds what the teams under it use together.
type Limit struct {
	Name      string
	Parent    string // a limit that also applies, or empty
	Quota     int    // percent of a zone's slots that the teams may use together
	MaxQueued int    // queued tasks of the teams on one entry VM before jobs are refused
}

// Team submits jobs and shares a priority with other teams by weight.
type Team struct {
	Name   string
	Limit  string // a limit, or empty for none
	Weight int    // share inside a priority in relation to other teams
}

// Set is a complete set of objects, each kind of object sorted by name.
type Set struct {
	Services   []Service
	Priorities []Priority
	Kinds      []Kind
	Limits     []Limit
	Teams      []Team
}
