package gateway

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/worker"
)

const (
	partitionPrefix = ownPrefix + "shapes/"
	// maxGroupsPerZone is the maximum number of groups of a zone that is accepted from the store: a hundred thousand workers.
	maxGroupsPerZone = 4096
	// workersStableTime is the time without a new worker after which the number of groups of a zone is fixed.
	workersStableTime = 1500 * time.Millisecond
	// vmsStableTime is the time without a new VM of the zone before that: VMs start within 0.3 s of each other, and one that
	// is missing makes groups smaller than they could be.
	vmsStableTime = 500 * time.Millisecond
)

// zonePartition is the number of groups into which the workers of a zone are partitioned. It is written once, since a
// worker must not change its group while holders disagree about the number.
type zonePartition struct {
	Groups int `json:"groups"`
	// HolderShare is the processor share that the holder of a group needs, 0 if any VM can hold one. It is stored so that
	// all VMs agree about the candidates.
	HolderShare float64 `json:"holder-share,omitempty"`
}

// groupName returns the name of a group of a zone.
func groupName(zone string, index int) string { return zone + "#" + strconv.Itoa(index) }

// zoneOf returns the zone of a group.
func zoneOf(group string) string {
	zone, _ := splitGroup(group)
	return zone
}

// splitGroup returns the zone and the index of a group.
func splitGroup(group string) (zone string, index int) {
	zone, number, _ := strings.Cut(group, "#")
	index, err := strconv.Atoi(number)
	if err != nil {
		return zone, 0 // a group name of another version, of which only the zone is used
	}
	return zone, index
}

// groupOf returns the group of a worker, or false if its zone is not partitioned yet.
func (sc *storeCache) groupOf(w worker.Worker) (string, bool) {
	s := sc.partitions[w.Zone]
	if s.Groups < 1 {
		return "", false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.ID)) // never fails
	return groupName(w.Zone, int(h.Sum32()%uint32(s.Groups))), true
}

// settledZone returns the number of workers of a zone and the processor shares of its VMs, or false while the zone is
// partitioned already or either may be incomplete.
func (sc *storeCache) settledZone(zone, self string, now time.Time) (workers int, shares []float64, settled bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if _, registered := sc.vms[self]; !registered || !sc.ownKeysRead || sc.partitions[zone].Groups > 0 ||
		now.Sub(sc.lastWorkerAdded) < workersStableTime || now.Sub(sc.lastVMAdded) < vmsStableTime {
		return 0, nil, false
	}
	for _, w := range sc.workers {
		if w.Zone == zone {
			workers++
		}
	}
	for _, r := range sc.vms {
		if r.Zone == zone {
			shares = append(shares, r.Weight)
		}
	}
	return workers, shares, workers > 0
}

// partitionZone fixes the number of groups of the own zone once its workers and VMs are known.
func (g *Gateway) partitionZone(ctx context.Context) {
	zone := g.settings.Zone
	workers, shares, settled := g.cache.settledZone(zone, g.settings.VM, time.Now())
	if !settled || time.Since(g.partitionTriedAt) < claimRetryInterval {
		return
	}
	g.partitionTriedAt = time.Now()
	partition := claim.PartitionZone(workers, shares)
	value, err := json.Marshal(zonePartition(partition))
	if err != nil {
		g.log.Error().Str("event", "shape").Err(err).Msg("partition of the zone cannot be encoded")
		return
	}
	key := partitionPrefix + zone
	g.background(ctx, func(ctx context.Context) {
		revision, err := g.config.Store.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: key}}, Puts: []store.KeyValue{{Key: key, Value: value}},
		})
		if err != nil {
			g.log.Info().Str("event", "shape").Err(err).Msg("partition of the zone not written: another VM was first, or the store is unavailable")
			return
		}
		g.log.Info().Str("event", "shape").Str("zone", zone).Int("groups", partition.Groups).Float64("holder-share", partition.HolderShare).Int("workers", workers).Int("vms", len(shares)).Send()
		g.cache.applyOwnWrite(store.KeyValue{Key: key, Value: value, Revision: revision})
	})
}
