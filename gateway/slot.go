package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"strconv"

	"samphireplank.example/samphireplank/store"
)

// VMs that hold a group without the store can't agree on their fences. So each VM registers with a slot that no other VM of
// its zone ever has, and its fences between two revisions follow from it, whichever other VMs it knows.

const (
	slotPrefix = ownPrefix + "slots/"
	// slotsPerZone is the number of slots of a zone. A VM without one does not hold groups without the store.
	slotsPerZone = 63
	// firstSlotFence is the lowest fence of a slot, counted from that of the record. VMs of earlier versions use lower ones,
	// by their place among the VMs of the zone that they know.
	firstSlotFence = 128
)

func slotKey(zone string, slot int) string { return slotPrefix + zone + "/" + strconv.Itoa(slot) }

// slotOf returns the slot of a VM, 0 if it has none; the caller holds the lock.
func (sc *storeCache) slotOf(zone, vm string) int {
	for slot := 1; slot <= slotsPerZone; slot++ {
		if sc.slots[slotKey(zone, slot)] == vm {
			return slot
		}
	}
	return 0
}

// freeSlot returns a slot that no VM is known to have and that is not to be skipped, 0 if there is none; the caller holds
// the lock. VMs that start together begin at different slots.
func (sc *storeCache) freeSlot(zone, vm string, skip map[int]bool) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm)) // never fails
	first := int(h.Sum32() % slotsPerZone)
	for i := range slotsPerZone {
		slot := 1 + (first+i)%slotsPerZone
		if _, taken := sc.slots[slotKey(zone, slot)]; !taken && !skip[slot] {
			return slot
		}
	}
	return 0
}

// slotFence returns the lowest fence above another one that this VM may use without the confirmation of the store while
// the record of a group has a revision, 0 if there is none.
func (g *Gateway) slotFence(revision, above int64) int64 {
	g.cache.mu.Lock()
	slot := g.cache.slotOf(g.settings.Zone, g.settings.VM)
	g.cache.mu.Unlock()
	if slot == 0 {
		return 0
	}
	first := revision*fencesPerRevision + firstSlotFence + int64(slot) - 1
	for fence := first; fence < (revision+1)*fencesPerRevision; fence += slotsPerZone {
		if fence > above {
			return fence
		}
	}
	return 0
}

// registerOnce writes the VM's own entry under the condition that it is the known one, and takes a slot if the VM has none.
// The slots that other VMs have turned out to have are added to skip.
func (g *Gateway) registerOnce(ctx context.Context, value []byte, skip map[int]bool) error {
	key := vmPrefix + g.settings.VM
	g.cache.mu.Lock()
	t := store.Transaction{
		Conditions: []store.Condition{{Key: key, Revision: g.cache.items[key].Revision}},
		Puts:       []store.KeyValue{{Key: key, Value: value}},
	}
	slot := 0
	if g.cache.slotOf(g.settings.Zone, g.settings.VM) == 0 {
		slot = g.cache.freeSlot(g.settings.Zone, g.settings.VM, skip)
	}
	g.cache.mu.Unlock()
	if slot > 0 {
		taken := slotKey(g.settings.Zone, slot)
		t.Conditions = append(t.Conditions, store.Condition{Key: taken})
		t.Puts = append(t.Puts, store.KeyValue{Key: taken, Value: []byte(g.settings.VM)})
	}
	_, err := g.config.Store.Commit(ctx, t)
	if slot > 0 && errors.Is(err, store.ErrConflict) {
		skip[slot] = true
	}
	return err
}
