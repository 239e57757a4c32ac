package store

import "errors"

// ErrNotApplied marks a call that failed before it could take effect, so that it may be repeated safely.
var ErrNotApplied = errors.New("the call had no effect")

// ErrOutcomeUnknown marks a write that may have taken effect although no valid answer came.
var ErrOutcomeUnknown = errors.New("the write may have taken effect")

// NotApplied reports whether a write that returned err certainly changed nothing.
//
//	if _, err := store.CompareAndSwap(ctx, key, version, data); err != nil && !platform.NotApplied(err) {
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
