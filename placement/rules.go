package placement

import "time"

// Rules are the limits and durations of a Scheduler.
type Rules struct {
	LeaseDuration       time.Duration // max lease of a worker, set by the platform
	ClockDrift          float64       // share by which a worker's clock may run slow, set by the platform
	KillTime            time.Duration // that a worker takes to kill the runs of an expired lease: 50 ms, twice that on a busy machine
	MaxPollWait         time.Duration // max wait of a poll; the remaining lease allows two more tries
	MinPollWait         time.Duration // min wait of a poll, while a run is overdue
	StartTimeout        time.Duration // of start and stop orders; the network takes 1 to 2 ms, tasks of urgent jobs 60 ms
	MaxStartTimeout     time.Duration // while responses are slow; two tries and a poll fit into the lease
	PollTimeoutMargin   time.Duration // for the response to a poll beyond its wait
	ProbeInterval       time.Duration // between polls of a worker that does not respond
	AckDelay            time.Duration // idle time after which the last ended runs are acknowledged
	UnackedPollInterval time.Duration // between polls of a worker that lists ends which must not be acknowledged yet
	LostHolderTimeout   time.Duration // after the loss of a holder, the time by which all its runs of other VMs' jobs have ended
	DurableHolderEnd    time.Duration // after the loss of a holder, the time by which all its runs of durable jobs have ended
	AdoptionTimeout     time.Duration // for entry VMs to resume the jobs of an earlier holder
	RemovalGrace        time.Duration // use of a worker after its entry disappeared; entries are back 2 s after an outage
	Quarantine          time.Duration // first ejection of a failing worker; doubles with each ejection
	MaxQuarantine       time.Duration // max time of an ejection
	StallQuarantine     time.Duration // first ejection after a run without progress; each trial run delays a job
	StallGrace          time.Duration // added to the expected time before the progress of a run is checked
	MaxRetryAfter       time.Duration // max time after which a refused caller may retry
	MinRetryAfter       time.Duration // min time after which a refused caller may retry
	TransferDelay       time.Duration // time for which a durable job waits before another group is asked for; doubles with each transfer
	TransferInterval    time.Duration // between two requests for another group
	MaxJobs             int           // jobs of the scheduler; more are refused
	IgnoreShares        bool          // place and admit by rank alone, also while a route gets less than its share
}

// DefaultRules returns the rules for leases of one second.
func DefaultRules() Rules {
	return Rules{
		LeaseDuration:       time.Second,
		ClockDrift:          0.02,
		KillTime:            100 * time.Millisecond,
		MaxPollWait:         600 * time.Millisecond,
		MinPollWait:         60 * time.Millisecond,
		StartTimeout:        60 * time.Millisecond,
		MaxStartTimeout:     300 * time.Millisecond,
		PollTimeoutMargin:   120 * time.Millisecond,
		ProbeInterval:       250 * time.Millisecond,
		AckDelay:            300 * time.Millisecond,
		UnackedPollInterval: 15 * time.Millisecond,
		LostHolderTimeout:   1290 * time.Millisecond,
		DurableHolderEnd:    2970 * time.Millisecond,
		AdoptionTimeout:     200 * time.Millisecond,
		RemovalGrace:        2500 * time.Millisecond,
		Quarantine:          time.Second,
		MaxQuarantine:       6 * time.Second,
		StallQuarantine:     3 * time.Second,
		StallGrace:          100 * time.Millisecond,
		MaxRetryAfter:       5 * time.Second,
		MinRetryAfter:       100 * time.Millisecond,
		TransferDelay:       1500 * time.Millisecond,
		TransferInterval:    500 * time.Millisecond,
		MaxJobs:             20000,
	}
}
