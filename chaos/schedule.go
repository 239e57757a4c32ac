package chaos

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Kind names a fault.
type Kind string

// The faults that a schedule holds.
const (
	// Kill ends an entry VM without notice and restarts it.
	Kill Kind = "kill"
	// Freeze stops the process of an entry VM and lets it go on.
	Freeze Kind = "freeze"
	// Stop shuts an entry VM down gracefully and restarts it.
	Stop Kind = "stop"

	// PlatformDown lets the platform answer nothing.
	PlatformDown Kind = "platform-down"
	// PlatformSlow delays the platform's answers.
	PlatformSlow Kind = "platform-slow"
	// PlatformLosesAnswers lets writes take effect without an answer.
	PlatformLosesAnswers Kind = "platform-loses-answers"
	// PlatformCut separates one zone from the platform.
	PlatformCut Kind = "platform-cut"

	// LinkCut holds back all bytes between the entry VMs of two zones.
	LinkCut Kind = "link-cut"
	// LinkCutOneWay holds back the bytes in one direction between two zones.
	LinkCutOneWay Kind = "link-cut-one-way"
	// LinkDelay delays the bytes between two zones.
	LinkDelay Kind = "link-delay"
	// LinkRefuse closes the connections between two zones at once.
	LinkRefuse Kind = "link-refuse"

	// EndpointLeave lets an endpoint announce that it leaves, stop and come back.
	EndpointLeave Kind = "endpoint-leave"
	// EndpointRestart restarts an endpoint without notice.
	EndpointRestart Kind = "endpoint-restart"
)

// endpointPrefix and the name of a stand-in's fault make the kind of an endpoint that misbehaves.
const endpointPrefix = "endpoint-fault-"

var endpointFaults = []string{
	"fail", "close-after-reading", "close-before-reading", "silent", "late", "twice", "reset", "crossed", "half", "garbage",
}

// Fleet says what a schedule may choose from.
type Fleet struct {
	Entries   int
	Zones     []string
	Endpoints []string
}

// Event is one fault of a Schedule.
type Event struct {
	Number   int
	At       time.Duration // since the start of the load
	For      time.Duration // of the fault, or from a kill or stop to the restart
	Kind     Kind
	Entry    int    // index of the entry VM of Kill, Freeze and Stop
	From, To string // zones of links; From also of PlatformCut
	Endpoint string
}

// String describes the event in one line.
func (e Event) String() string {
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
	return fmt.Sprintf("#%d at %5.2f s for %4.2f s: %s %s", e.Number, e.At.Seconds(), e.For.Seconds(), e.Kind, target)
}

func (e Event) entry() bool { return e.Kind == Kill || e.Kind == Freeze || e.Kind == Stop }

func (e Event) platform() bool { return strings.HasPrefix(string(e.Kind), "platform-") }

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
func NewSchedule(seed uint64, duration time.Duration, fleet Fleet) []Event {
	d := dealer{random: rand.New(rand.NewPCG(seed, 0)), fleet: fleet}
	var events []Event
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
	fleet  Fleet
	deck   []Kind
}

// fullDeck holds the faults of entry VMs more often than the others, since they are the subject of the run.
func fullDeck() []Kind {
	deck := []Kind{
		Kill, Kill, Kill, Freeze, Freeze, Freeze, Stop, Stop, Stop, PlatformDown, PlatformSlow, PlatformLosesAnswers, PlatformCut,
		LinkCut, LinkCutOneWay, LinkDelay, LinkRefuse, EndpointLeave, EndpointRestart,
	}
	for _, fault := range endpointFaults {
		deck = append(deck, Kind(endpointPrefix+fault))
	}
	return deck
}

func (d *dealer) kind() Kind {
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

func (d *dealer) event(number int, at time.Duration) Event {
	e := Event{Number: number, At: at, For: d.between(leastFault, mostFault), Kind: d.kind()}
	zone := d.random.IntN(len(d.fleet.Zones))
	other := (zone + 1 + d.random.IntN(len(d.fleet.Zones)-1)) % len(d.fleet.Zones)
	switch e.Kind {
	case Kill, Freeze, Stop:
		e.Entry = d.random.IntN(d.fleet.Entries)
	case PlatformCut:
		e.From = d.fleet.Zones[zone]
	case LinkCut, LinkCutOneWay, LinkDelay, LinkRefuse:
		e.From, e.To = d.fleet.Zones[zone], d.fleet.Zones[other]
	case PlatformDown, PlatformSlow, PlatformLosesAnswers:
	default:
		e.Endpoint = d.fleet.Endpoints[d.random.IntN(len(d.fleet.Endpoints))]
	}
	return e
}
