package slot

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// vm is an entry VM of a test zone with the tasks that run on its slots.
type vm struct {
	id     string
	ledger *Ledger
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
	var capacities []Capacity
	for e := range z.endpoints {
		owner := z.owners[e%len(z.owners)]
		capacities = append(capacities, Capacity{Endpoint: endpointID(e), Owner: owner, Slots: z.slots})
	}
	v.ledger.SetEndpoints(z.now, capacities)
}

func endpointID(e int) string { return fmt.Sprintf("executor-%03d", e) }

// send puts messages on the link.
func (z *testZone) send(from *vm, out []Outgoing) {
	for _, o := range out {
		kind := fmt.Sprintf("%T", o.Message)[len("slot."):]
		bytes, t := size(o.Message), z.kinds[kind]
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
		held, ok := v.ledger.Take(z.now)
		if !ok {
			z.send(v, v.ledger.Request(z.now, v.queued, nil))
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
func (z *testZone) run(d time.Duration, targets []Target) {
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

func varint(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

func field(v int) int { return 1 + varint(uint64(v)) }

// size is the length of a message in the protobuf wire format, without the framing of the batch.
func size(m PeerMessage) int {
	ranges := func(rs []Range) int {
		n := 0
		for _, r := range rs {
			n += 2 + field(int(r.First)) + field(int(r.Count))
		}
		return n
	}
	const epoch = 9 // fixed64
	switch m := m.(type) {
	case Want:
		return 2 + field(int(m.Sent)) + field(m.Count)
	case Lend:
		n := 2 + epoch + field(int(m.Wanted)) + field(int(m.First)) + field(m.Idle)
		for _, g := range m.Groups {
			n += 2 + 2 + len(g.Endpoint) + field(g.Count)
		}
		return n
	case Renew:
		return 2 + epoch + field(int(m.Sent)) + field(int(m.Through)) + field(m.Held) + field(int(m.Sum))
	case Renewed:
		return 2 + epoch + field(int(m.Sent)) + field(int(m.Through)) + 2
	case Return:
		return 2 + epoch + ranges(m.Ranges)
	case Holdings:
		return 2 + epoch + field(int(m.Through)) + ranges(m.Ranges)
	case Recall:
		return 2 + epoch + field(int(m.Through)) + field(m.Keep)
	case Handover:
		n := 2 + field(int(m.Sent))
		for _, item := range m.Items {
			n += 2 + 2 + len(item.Endpoint) + field(item.Count) + 2
		}
		return n
	}
	return 2 + field(0)
}
