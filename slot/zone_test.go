package slot

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"
)

// vm is an entry VM of a test zone and the tasks that run on its slots.
type vm struct {
	id       string
	pool     *Pool
	held     []Slot
	queued   int
	paused   bool
	stopped  bool
	informAt time.Time // time at which it learns the current peers and owners; zero if it knows them
}

// delayedMessage is a message in transit.
type delayedMessage struct {
	from string
	to   string
	m    PeerMessage
	at   time.Time
}

// testZone connects pools by a link that loses, delays, duplicates and reorders messages.
type testZone struct {
	now           time.Time
	random        *rand.Rand
	vms           []*vm
	undelivered   []delayedMessage
	lossRate      float64       // probability of losing a message
	duplicateRate float64       // probability of duplicating it
	maxExtraDelay time.Duration // maximum additional delay
	endpoints     int
	slots         int
	alive         []string
	owners        []string // eligible owners
	kinds         map[string]traffic
	step          func() // called in each step of run
}

// traffic counts messages and their bytes.
type traffic struct{ messages, bytes, largest int }

const linkDelay = 200 * time.Microsecond

func newTestZone(config Config, vms, endpoints, slots int, seed uint64) *testZone {
	z := &testZone{now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), endpoints: endpoints, slots: slots}
	z.kinds = map[string]traffic{}
	for i := range vms {
		config.VM = fmt.Sprintf("entry-%d", i)
		config.Incarnation = 1
		z.vms = append(z.vms, &vm{id: config.VM, pool: New(config)})
		z.alive = append(z.alive, config.VM)
	}
	z.owners = slices.Clone(z.alive)
	for _, v := range z.vms {
		z.inform(v)
	}
	return z
}

// inform sets the current peers and owners on a VM.
func (z *testZone) inform(v *vm) {
	v.informAt = time.Time{}
	v.pool.SetPeers(z.now, z.alive)
	var capacities []Endpoint
	for e := range z.endpoints {
		owner := z.owners[e%len(z.owners)]
		capacities = append(capacities, Endpoint{ID: endpointID(e), Owner: owner, Slots: z.slots})
	}
	v.pool.SetEndpoints(z.now, capacities)
}

func endpointID(e int) string { return fmt.Sprintf("executor-%03d", e) }

// send sends messages over the link.
func (z *testZone) send(from *vm, out []Envelope) {
	for _, o := range out {
		kind := fmt.Sprintf("%T", o.Message)[len("slot."):]
		bytes, t := 2+size(reflect.ValueOf(o.Message)), z.kinds[kind]
		z.kinds[kind] = traffic{t.messages + 1, t.bytes + bytes, max(t.largest, bytes)}
		if z.random.Float64() < z.lossRate {
			continue
		}
		copies := 1
		if z.random.Float64() < z.duplicateRate {
			copies = 2
		}
		for range copies {
			delay := linkDelay
			if z.maxExtraDelay > 0 {
				delay += time.Duration(z.random.Int64N(int64(z.maxExtraDelay)))
			}
			z.undelivered = append(z.undelivered, delayedMessage{from.id, o.Peer, o.Message, z.now.Add(delay)})
		}
	}
}

// deliver delivers the messages that are due, in the order of their arrival.
func (z *testZone) deliver() {
	for {
		next := -1
		for i, m := range z.undelivered {
			if m.at.After(z.now) || z.vm(m.to).paused {
				continue
			}
			if next < 0 || m.at.Before(z.undelivered[next].at) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		m := z.undelivered[next]
		z.undelivered = slices.Delete(z.undelivered, next, next+1)
		if to := z.vm(m.to); !to.stopped {
			z.send(to, to.pool.Receive(z.now, m.from, m.m, nil))
			z.dispatch(to)
		}
	}
}

func (z *testZone) vm(id string) *vm {
	return z.vms[slices.IndexFunc(z.vms, func(v *vm) bool { return v.id == id })]
}

// dispatch starts queued tasks and requests slots from peers for the others.
func (z *testZone) dispatch(v *vm) {
	for v.queued > 0 {
		held, ok := v.pool.TryAcquire(z.now)
		if !ok {
			z.send(v, v.pool.RequestLoans(z.now, v.queued, nil))
			return
		}
		v.queued--
		v.held = append(v.held, held)
	}
}

// finish ends a task of a VM.
func (z *testZone) finish(v *vm, i int) {
	v.pool.Release(z.now, v.held[i].ID)
	v.held = slices.Delete(v.held, i, i+1)
	z.dispatch(v)
}

// run advances the time by d.
func (z *testZone) run(d time.Duration, targets []Allocation) {
	const step = 500 * time.Microsecond
	for end := z.now.Add(d); z.now.Before(end); {
		z.now = z.now.Add(step)
		z.deliver()
		if z.step != nil {
			z.step()
		}
		if z.now.UnixNano()%int64(10*time.Millisecond) != 0 {
			continue
		}
		for _, v := range z.vms {
			if !v.paused && !v.stopped {
				if !v.informAt.IsZero() && !z.now.Before(v.informAt) {
					z.inform(v)
				}
				z.send(v, v.pool.Tick(z.now, v.queued, targets, nil))
				z.dispatch(v)
			}
		}
	}
}

// inUse counts the tasks on each endpoint over all VMs.
func (z *testZone) inUse() map[string]int {
	count := map[string]int{}
	for _, v := range z.vms {
		for _, held := range v.held {
			count[held.Endpoint]++
		}
	}
	return count
}

// size returns the length of a message or a part of it in the protobuf wire format, without the framing of the batch.
func size(v reflect.Value) int {
	n := 0
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Name == "Epoch" {
				n += 10 // a real incarnation takes nine bytes, not one as in these tests
			}
			n += size(v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			n += 2 + size(v.Index(i))
		}
	case reflect.String:
		n = 2 + v.Len()
	case reflect.Bool:
		n = map[bool]int{true: 2}[v.Bool()]
	case reflect.Uint64:
		n = varint(v.Uint())
	default:
		n = varint(uint64(v.Int()))
	}
	return n
}

// varint returns the length of a numeric field; zero values are omitted.
func varint(value uint64) int { return (bits.Len64(value)+6)/7 + min(1, bits.Len64(value)) }
