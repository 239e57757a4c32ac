package slot

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"
)

// vm is an entry VM of a test zone with the tasks that run on its slots.
type vm struct {
	id     string
	ledger *Pool
	held   []Slot
	queued int
	frozen bool
	dead   bool
	inform time.Time // it learns the present peers and owners then; zero if it knows them
}

// letter is a message on its way.
type letter struct {
	from string
	to   string
	m    PeerMessage
	at   time.Time
}

// testZone joins ledgers by a link that loses, delays, duplicates and reorders messages.
type testZone struct {
	now       time.Time
	random    *rand.Rand
	vms       []*vm
	mail      []letter
	lose      float64       // probability of losing a message
	copy      float64       // probability of doubling it
	delay     time.Duration // longest additional delay
	endpoints int
	slots     int
	alive     []string
	owners    []string // eligible owners
	kinds     map[string]traffic
	step      func() // work of a load test in each step
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
		z.vms = append(z.vms, &vm{id: config.VM, ledger: New(config)})
		z.alive = append(z.alive, config.VM)
	}
	z.owners = slices.Clone(z.alive)
	for _, v := range z.vms {
		z.inform(v)
	}
	return z
}

// inform tells a VM the present peers and owners.
func (z *testZone) inform(v *vm) {
	v.inform = time.Time{}
	v.ledger.SetPeers(z.now, z.alive)
	var capacities []Endpoint
	for e := range z.endpoints {
		owner := z.owners[e%len(z.owners)]
		capacities = append(capacities, Endpoint{ID: endpointID(e), Owner: owner, Slots: z.slots})
	}
	v.ledger.SetEndpoints(z.now, capacities)
}

func endpointID(e int) string { return fmt.Sprintf("executor-%03d", e) }

// send puts messages on the link.
func (z *testZone) send(from *vm, out []Envelope) {
	for _, o := range out {
		kind := fmt.Sprintf("%T", o.Message)[len("slot."):]
		bytes, t := 2+size(reflect.ValueOf(o.Message)), z.kinds[kind]
		z.kinds[kind] = traffic{t.messages + 1, t.bytes + bytes, max(t.largest, bytes)}
		if z.random.Float64() < z.lose {
			continue
		}
		copies := 1
		if z.random.Float64() < z.copy {
			copies = 2
		}
		for range copies {
			delay := linkDelay
			if z.delay > 0 {
				delay += time.Duration(z.random.Int64N(int64(z.delay)))
			}
			z.mail = append(z.mail, letter{from.id, o.Peer, o.Message, z.now.Add(delay)})
		}
	}
}

// deliver hands over the messages that are due, in the order of their arrival.
func (z *testZone) deliver() {
	for {
		next := -1
		for i, m := range z.mail {
			if m.at.After(z.now) || z.vm(m.to).frozen {
				continue
			}
			if next < 0 || m.at.Before(z.mail[next].at) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		m := z.mail[next]
		z.mail = slices.Delete(z.mail, next, next+1)
		if to := z.vm(m.to); !to.dead {
			z.send(to, to.ledger.Receive(z.now, m.from, m.m, nil))
			z.dispatch(to)
		}
	}
}

func (z *testZone) vm(id string) *vm {
	return z.vms[slices.IndexFunc(z.vms, func(v *vm) bool { return v.id == id })]
}

// dispatch starts queued tasks and asks peers for the rest.
func (z *testZone) dispatch(v *vm) {
	for v.queued > 0 {
		held, ok := v.ledger.TryAcquire(z.now)
		if !ok {
			z.send(v, v.ledger.RequestLoans(z.now, v.queued, nil))
			return
		}
		v.queued--
		v.held = append(v.held, held)
	}
}

// finish ends a task of a VM.
func (z *testZone) finish(v *vm, i int) {
	v.ledger.Release(z.now, v.held[i].ID)
	v.held = slices.Delete(v.held, i, i+1)
	z.dispatch(v)
}

// run lets time pass.
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
			if !v.frozen && !v.dead {
				if !v.inform.IsZero() && !z.now.Before(v.inform) {
					z.inform(v)
				}
				z.send(v, v.ledger.Tick(z.now, v.queued, targets, nil))
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

// size is the length of a message or a part of it in the protobuf wire format, without the framing of the batch.
func size(v reflect.Value) int {
	n := 0
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Name == "Epoch" {
				n += 10 // an incarnation takes nine bytes and not one as in these tests
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

// varint is the length of a field with a number; zero is left out.
func varint(value uint64) int { return (bits.Len64(value)+6)/7 + min(1, bits.Len64(value)) }
