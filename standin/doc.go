// Package standin takes the place of the platform and of endpoints in tests and trials: HTTP servers with faults
// that are switched at run time, and with counts that tests judge the system by.
package standin
