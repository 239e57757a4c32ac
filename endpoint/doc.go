// Package endpoint judges the health of endpoints and sends tasks to them over HTTP.
package endpoint
