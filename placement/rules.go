package placement

import "time"

// Rules are the limits and times of a Scheduler.
type Rules struct {
	LeaseDuration       time.Duration // longest lease of a worker, set by the platform
	ClockDrift          float64       // share by which a worker's clock may be slow, set by the platform
	MaxPollWait         time.Duration // longest wait of a hold; the rest of the lease is for two more tries
	MinPollWait         time.Duration // shortest wait of a hold, while a run is overdue
	StartTimeout        time.Duration // for the answer to a start or a stop; the network takes 1 to 2 ms, and the tasks of urgent jobs 60 ms
	MaxStartTimeout     time.Duration // the same while answers come late; with two tries and a hold it stays below the lease
	PollTimeoutMargin   time.Duration // for the answer to a hold beyond its wait
	ProbeInterval       time.Duration // between two holds of a worker that does not answer
	AckDelay            time.Duration // idle time after which the last ends are acknowledged
	UnackedPollInterval time.Duration // between two holds of a worker that lists ends which may not be acknowledged yet
	AdoptionTimeout     time.Duration // for entry VMs to resume the jobs of an earlier holder
	RemovalGrace        time.Duration // use of a worker after its entry has gone; entries are back 2 s after an outage
	Quarantine          time.Duration // first time that a failing worker gets no work; doubles
	MaxQuarantine       time.Duration
	StallQuarantine     time.Duration // first time without work after a run that made no progress: each trial delays a job
	StragglerFactor     float64       // a run that takes this many times its expected time is moved
	StallGrace          time.Duration // added to the expected time before a run is judged
	MaxRetryAfter       time.Duration // longest time after which a refused caller is asked to return
	MinRetryAfter       time.Duration
	MaxJobs             int // jobs in the pool; more are refused
}

// DefaultRules returns the rules for leases of one second.
func DefaultRules() Rules {
	return Rules{
		LeaseDuration:       time.Second,
		ClockDrift:          0.02,
		MaxPollWait:         600 * time.Millisecond,
		MinPollWait:         60 * time.Millisecond,
		StartTimeout:        60 * time.Millisecond,
		MaxStartTimeout:     300 * time.Millisecond,
		PollTimeoutMargin:   120 * time.Millisecond,
		ProbeInterval:       250 * time.Millisecond,
		AckDelay:            300 * time.Millisecond,
		UnackedPollInterval: 15 * time.Millisecond,
		AdoptionTimeout:     300 * time.Millisecond,
		RemovalGrace:        2500 * time.Millisecond,
		Quarantine:          time.Second,
		MaxQuarantine:       6 * time.Second,
		StallQuarantine:     3 * time.Second,
		StragglerFactor:     3,
		StallGrace:          100 * time.Millisecond,
		MaxRetryAfter:       5 * time.Second,
		MinRetryAfter:       100 * time.Millisecond,
		MaxJobs:             20000,
	}
}
