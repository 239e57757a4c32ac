package chaos

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// FaultKind names a fault.
type FaultKind string

// The faults that a schedule holds.
const (
	// Kill ends an entry VM without notice and restarts it.
	Kill FaultKind = "kill"
	// Pause stops the process of an entry VM and lets it go on.
	Pause FaultKind = "freeze"
	// Stop shuts an entry VM down gracefully and restarts it.
	Stop FaultKind = "stop"

	// PlatformDown lets the platform answer nothing.
	PlatformDown FaultKind = "platform-down"
	// PlatformSlow delays the platform's answers.
	PlatformSlow FaultKind = "platform-slow"
	// PlatformLosesAnswers lets writes take effect without an answer.
	PlatformLosesAnswers FaultKind = "platform-loses-answers"
	// PlatformPartition separates one zone from the platform.
	PlatformPartition FaultKind = "platform-cut"

	// LinkPartition holds back all bytes between the entry VMs of two zones.
	LinkPartition FaultKind = "link-cut"
	// LinkPartitionOneWay holds back the bytes in one direction between two zones.
	LinkPartitionOneWay FaultKind = "link-cut-one-way"
	// LinkDelay delays the bytes between two zones.
	LinkDelay FaultKind = "link-delay"
	// LinkRefuse closes the connections between two zones at once.
	LinkRefuse FaultKind = "link-refuse"

	// EndpointLeave lets an endpoint announce that it leaves, stop and come back.
	EndpointLeave FaultKind = "endpoint-leave"
	// EndpointRestart restarts an endpoint without notice.
	EndpointRestart FaultKind = "endpoint-restart"
)

// endpointPrefix and the name of a stand-in's fault make the kind of an endpoint that misbehaves.
const endpointPrefix = "endpoint-fault-"

var endpointFaults = []string{
	"fail", "close-after-reading", "close-before-reading", "silent", "late", "twice", "reset", "crossed", "half", "garbage",
}

// Topology says what a schedule may choose from.
type Topology struct {
	Entries   int
	Zones     []string
	Endpoints []string
}

// FaultEvent is one fault of a Schedule.
type FaultEvent struct {
	Number   int
	At       time.Duration // since the start of the load
	Duration time.Duration // of the fault, or from a kill or stop to the restart
	Kind     FaultKind
	Entry    int    // index of the entry VM of Kill, Pause and Stop
	From, To string // zones of links; From also of PlatformPartition
	Endpoint string
}

// String describes the event in one line.
func (e FaultEvent) String() string {
	target := ""
	switch {
	case e.Endpoint != "":
		target = e.Endpoint
	case e.To != "":
		target = e.From + " to " + e.To
	case e.From != "":
		target = e.From
	case e.entry():
		target = fmt.Sprintf("entry-%d", e.Entry)
	}
	return fmt.Sprintf("#%d at %5.2f s for %4.2f s: %s %s", e.Number, e.At.Seconds(), e.Duration.Seconds(), e.Kind, target)
}

func (e FaultEvent) entry() bool { return e.Kind == Kill || e.Kind == Pause || e.Kind == Stop }

func (e FaultEvent) platform() bool { return strings.HasPrefix(string(e.Kind), "platform-") }

// The times of a schedule. The loan term of slots is 1 s, so that some freezes outlast it.
const (
	calmBefore   = 2 * time.Second
	calmAfter    = 5 * time.Second
	leastPause   = 1200 * time.Millisecond
	mostPause    = 2800 * time.Millisecond
	leastFault   = 300 * time.Millisecond
	mostFault    = 4 * time.Second
	pairDistance = 600 * time.Millisecond // most time between the begins of the two faults of a pair
)

// NewSchedule returns the faults of a run; equal arguments give equal schedules.
//
// Single faults and pairs take turns. Kinds are dealt from a shuffled deck, so that a long run has all of them.
func NewSchedule(seed uint64, duration time.Duration, fleet Topology) []FaultEvent {
	d := dealer{random: rand.New(rand.NewPCG(seed, 0)), fleet: fleet}
	var events []FaultEvent
	at := calmBefore
	for pair := false; at < duration-calmAfter; pair = !pair {
		events = append(events, d.event(len(events), at))
		if pair {
			events = append(events, d.event(len(events), at+d.between(0, pairDistance)))
		}
		at += d.between(leastPause, mostPause)
	}
	return events
}

// dealer draws events.
type dealer struct {
	random *rand.Rand
	fleet  Topology
	deck   []FaultKind
}

// fullDeck holds the faults of entry VMs more often than the others, since they are the subject of the run.
func fullDeck() []FaultKind {
	deck := []FaultKind{
		Kill, Kill, Kill, Pause, Pause, Pause, Stop, Stop, Stop, PlatformDown, PlatformSlow, PlatformLosesAnswers, PlatformPartition,
		LinkPartition, LinkPartitionOneWay, LinkDelay, LinkRefuse, EndpointLeave, EndpointRestart,
	}
	for _, fault := range endpointFaults {
		deck = append(deck, FaultKind(endpointPrefix+fault))
	}
	return deck
}

func (d *dealer) kind() FaultKind {
	if len(d.deck) == 0 {
		d.deck = fullDeck()
		d.random.Shuffle(len(d.deck), func(i, j int) { d.deck[i], d.deck[j] = d.deck[j], d.deck[i] })
	}
	kind := d.deck[0]
	d.deck = d.deck[1:]
	return kind
}

func (d *dealer) between(least, most time.Duration) time.Duration {
	return (least + time.Duration(d.random.Int64N(int64(most-least)))).Round(10 * time.Millisecond)
}

func (d *dealer) event(number int, at time.Duration) FaultEvent {
	e := FaultEvent{Number: number, At: at, Duration: d.between(leastFault, mostFault), Kind: d.kind()}
	zone := d.random.IntN(len(d.fleet.Zones))
	other := (zone + 1 + d.random.IntN(len(d.fleet.Zones)-1)) % len(d.fleet.Zones)
	switch e.Kind {
	case Kill, Pause, Stop:
		e.Entry = d.random.IntN(d.fleet.Entries)
	case PlatformPartition:
		e.From = d.fleet.Zones[zone]
	case LinkPartition, LinkPartitionOneWay, LinkDelay, LinkRefuse:
		e.From, e.To = d.fleet.Zones[zone], d.fleet.Zones[other]
	case PlatformDown, PlatformSlow, PlatformLosesAnswers:
	default:
		e.Endpoint = d.fleet.Endpoints[d.random.IntN(len(d.fleet.Endpoints))]
	}
	return e
}
