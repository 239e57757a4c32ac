package standin

import "time"

// Evacuate writes the key that evacuates a zone, as an operator does.
func (k *KVStore) Evacuate(zone string) error {
	_, err := k.Put("op/evacuate/"+zone, map[string]any{})
	return err
}

// EndEvacuation removes the key that evacuates a zone.
func (k *KVStore) EndEvacuation(zone string) { k.Delete("op/evacuate/" + zone) }

// coldTime is a time in which a worker is slow.
type coldTime struct {
	until  time.Time
	factor float64
}

// SetCold makes a worker slow for some time, which its entry reports: the run times of runs that start then are multiplied by a factor.
func (w *Worker) SetCold(length time.Duration, factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = coldTime{until: time.Now().Add(length), factor: factor}
}

// remaining returns how long the worker stays slow.
func (c coldTime) remaining() time.Duration { return max(time.Until(c.until), 0) }

// LastStart returns when a run last started on a worker, zero if none has.
func (w *RunChecker) LastStart(worker string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastStarts[worker]
}
