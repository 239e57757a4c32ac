package store

import "errors"

// ErrNoEffect marks a call that failed before it could take effect, so that it may be repeated safely.
var ErrNoEffect = errors.New("the call had no effect")

// ErrUncertain marks a write that may have taken effect although no valid answer came.
var ErrUncertain = errors.New("the write may have taken effect")

// HadNoEffect reports whether a write that returned err certainly changed nothing.
//
//	if _, err := store.CompareAndSwap(ctx, key, version, data); err != nil && !platform.HadNoEffect(err) {
//		// read the key back
//	}
func HadNoEffect(err error) bool {
	for _, known := range []error{ErrNoEffect, ErrVersionMismatch, ErrValueTooLarge, ErrNotFound} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}
