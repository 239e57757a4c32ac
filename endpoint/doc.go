// Package endpoint sends tasks to endpoints over HTTP and tracks the health of endpoints by the results.
package endpoint
