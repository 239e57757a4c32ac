// Package evacuation records which zones operators have evacuated, and as of which revision of the store that is known. It does no
// input or output.
package evacuation
