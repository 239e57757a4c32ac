package share

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

const (
	// jitterPart is the part of a wait by which it is extended at most.
	jitterPart = 0.5
	// minJitter is the unit of the Retry-After header; a smaller spread would be rounded away.
	minJitter = time.Second
)

// Jitter returns a time to retry after that is at least the wait, which is when capacity is expected, and spread so that
// callers that are refused together do not return together. It depends on the key alone, so that a replayed decision gives the
// same time.
func Jitter(wait time.Duration, key string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	spread := max(time.Duration(jitterPart*float64(wait)), minJitter)
	return wait + time.Duration(rand.New(rand.NewPCG(h.Sum64(), 0)).Float64()*float64(spread))
}
