// Package share divides the capacity of a group of workers between routes while there is too little of it: it measures the
// demand of each route, derives the share that each is entitled to, and tells whether a route is over its share.
//
// Decisions are pure functions of what the caller passes; the package does no I/O and reads no clock.
package share
