package publication

import (
	"sync"

	"samphireplank.example/samphireplank/contract"
)

// ActiveSet holds the active set of one VM; its generation only increases. The zero value has no active set.
type ActiveSet struct {
	mutex  sync.Mutex
	record Record
	set    *contract.Set
}

// Update activates a set and returns true, unless its generation is not higher or its digest is wrong.
func (a *ActiveSet) Update(record Record, set *contract.Set) bool {
	if active, _ := a.Current(); set == nil || record.Generation <= active.Generation {
		return false
	}
	// Computing the digest of a large set takes milliseconds, so it is done outside the lock.
	if record.check() != nil || set.Digest() != record.Digest {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if record.Generation <= a.record.Generation {
		return false
	}
	a.record, a.set = record, set
	return true
}

// Current returns the active record and set; the generation is 0 and the set nil while there is none.
func (a *ActiveSet) Current() (Record, *contract.Set) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.record, a.set
}
