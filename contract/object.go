package contract

import "time"

// Service is a group of endpoints that run the same program.
type Service struct {
	Name           string
	Slots          int           // tasks that one endpoint runs concurrently
	MaxConnections int           // connections that one endpoint accepts from all entry VMs of its zone
	Guard          bool          // endpoints reject tasks beyond their slots with Not-Run
	ProbePath      string        // path of the health probe
	IdleTimeout    time.Duration // endpoints close connections that are idle for this long
}

// Priority is a priority level with a guaranteed share of the slots.
type Priority struct {
	Name      string
	Rank      int // 1 is the most urgent
	Share     int // guaranteed percent of the slots; the shares of all priorities add up to 100
	MaxQueued int // queued tasks on one entry VM before jobs are refused
}

// Kind is a kind of work: a path of a service, its priority and its deadline.
type Kind struct {
	Name        string
	Service     string
	Path        string
	Priority    string
	Idempotent  bool
	MaxAttempts int           // maximum starts of one task; more than 1 only if idempotent
	Deadline    time.Duration // maximum time from submission to answer
	RunTime     time.Duration // expected run time of a task before any was observed
	MaxTasks    int           // maximum tasks in one job, at most job.MaxTasks
}

// Limit restricts the total use of the teams assigned to it.
type Limit struct {
	Name      string
	Parent    string // limit that also applies, or empty
	Quota     int    // percent of a zone's slots that the teams may use together
	MaxQueued int    // queued tasks of the teams on one entry VM before jobs are refused
}

// Team submits jobs and shares a priority with other teams by weight.
type Team struct {
	Name   string
	Limit  string // limit of the team, or empty for none
	Weight int    // share within a priority relative to other teams
}

// Set is a complete set of objects, each kind of object sorted by name.
type Set struct {
	Services   []Service
	Priorities []Priority
	Kinds      []Kind
	Limits     []Limit
	Teams      []Team
}
