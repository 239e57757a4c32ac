package store

import "errors"

// ErrNotApplied means that a call failed before it could take effect, so it can be repeated safely.
var ErrNotApplied = errors.New("the call had no effect")

// ErrOutcomeUnknown means that a write may have taken effect although no valid response arrived.
var ErrOutcomeUnknown = errors.New("the write may have taken effect")

// NotApplied reports whether a write that returned err certainly changed nothing.
//
//	if _, err := store.CompareAndSwap(ctx, key, version, data); err != nil && !store.NotApplied(err) {
//		// read the key back
//	}
func NotApplied(err error) bool {
	for _, known := range []error{ErrNotApplied, ErrVersionMismatch, ErrValueTooLarge, ErrNotFound} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}
