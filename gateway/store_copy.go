package gateway

import (
	"strings"

	"samphireplank.example/samphireplank/evacuation"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/store"
)

// copyFor returns the configuration, and with all also the other keys, for a VM that cannot reach the store.
func (sc *storeCache) copyFor(all bool) peer.Copy {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	evacuations := sc.evacuationState()
	c := peer.Copy{Configuration: sc.configRaw, Revision: sc.configRev, Evacuated: evacuations.Zones, EvacuationsRevision: evacuations.Revision}
	if !all {
		return c
	}
	c.Parts, c.Keys, c.Revisions, c.Created = map[string]int64{}, map[string][]byte{}, map[string]int64{}, map[string]int64{}
	for _, part := range sc.prefixes {
		c.Parts[part.name] = part.revision
	}
	for key, item := range sc.items {
		if !strings.HasPrefix(key, sc.decoder.OperatorPrefix()) {
			c.Keys[key], c.Revisions[key] = item.Value, item.Revision
			if strings.HasPrefix(key, sc.decoder.WorkerPrefix()) {
				c.Created[key] = item.Created
			}
		}
	}
	return c
}

// applyCopy applies the copy of another VM for the prefixes in which it is newer. The revisions are compared by prefix,
// since the newest key of one prefix says nothing about the others.
func (sc *storeCache) applyCopy(c peer.Copy) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if len(c.Configuration) > 0 {
		sc.applyConfiguration(c.Configuration, c.Revision)
	}
	sc.mergeEvacuations(evacuation.NewState(c.Evacuated, c.EvacuationsRevision))
	for _, part := range sc.prefixes {
		if c.Parts[part.name] <= part.revision || part.name == sc.decoder.OperatorPrefix() {
			continue
		}
		var items []store.KeyValue
		for key, value := range c.Keys {
			if strings.HasPrefix(key, part.name) {
				items = append(items, store.KeyValue{Key: key, Value: value, Revision: c.Revisions[key], Created: c.Created[key]})
			}
		}
		sc.replaceAll(part, c.Parts[part.name], items)
	}
	sc.notifyLocked()
}
