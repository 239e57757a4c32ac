// Package load generates open-loop load from a seeded profile, checks every answer, and reports response times and
// violated guarantees.
package load
