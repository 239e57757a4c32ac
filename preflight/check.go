package preflight

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// required reports a missing field.
func required[T any](c *checker, f Field[T], allowed string) {
	if !f.Given {
		c.error(f.problem("the field is missing", allowed))
	}
}

// inRange reports a number outside a range.
func inRange[T int64 | float64](c *checker, f Field[T], least, most T) {
	if f.Valid && (f.Value < least || f.Value > most) {
		c.error(f.problem("the value is out of range", fmt.Sprintf("%d to %d", int64(least), int64(most))))
	}
}

// notEmpty reports a missing or empty text.
func notEmpty(c *checker, f Field[string], allowed string) {
	required(c, f, allowed)
	if f.Valid && f.Value == "" {
		c.error(f.problem("the value is empty", allowed))
	}
}

func (c *checker) checkVersion() {
	f := c.Candidate.Version
	required(c, f, "a whole number")
	inRange(c, f, 1, math.MaxInt64)
	if c.InForce != nil && c.InForce.Version.Valid && f.Valid && f.Value <= c.InForce.Version.Value {
		c.error(f.problem(fmt.Sprintf("the version is not higher than %d, which is in force", c.InForce.Version.Value),
			fmt.Sprintf("%d or higher", c.InForce.Version.Value+1)))
	}
}

func (c *checker) checkServices() {
	required(c, c.Candidate.Services, "a list of services")
	used := map[string]bool{}
	for _, r := range c.Candidate.Routes.Value {
		used[r.Service.Value] = true
	}
	lines := map[string]int{}
	for _, s := range c.Candidate.Services.Value {
		notEmpty(c, s.Name, "a name")
		name := s.Name.Value
		if name == "" {
			continue
		}
		if line, ok := lines[name]; ok {
			c.error(s.Name.problem(fmt.Sprintf("the service in line %d has the same name", line), "a name that no other service has"))
			continue
		}
		lines[name] = s.Name.Line
		if !used[name] && !s.Spare.Value {
			c.warning(s.Name.problem("no route has this service, so it never gets a job", ""))
		}
	}
}

func (c *checker) checkRoutes() {
	required(c, c.Candidate.Routes, "a list of routes")
	if c.Candidate.Routes.Valid && len(c.Candidate.Routes.Value) == 0 {
		c.warning(c.Candidate.Routes.problem("the list is empty, so every request is answered 404", ""))
	}
	services := map[string]bool{}
	for _, s := range c.Candidate.Services.Value {
		services[s.Name.Value] = true
	}
	lines := map[string]int{}
	for _, r := range c.Candidate.Routes.Value {
		notEmpty(c, r.Name, "a name")
		if name := r.Name.Value; name != "" {
			if line, ok := lines[name]; ok {
				c.error(r.Name.problem(fmt.Sprintf("the route in line %d has the same name", line), "a name that no other route has"))
			} else {
				lines[name] = r.Name.Line
			}
		}
		notEmpty(c, r.Host, allowedHost)
		notEmpty(c, r.Prefix, allowedPrefix)
		notEmpty(c, r.Service, "the name of a service in the list")
		// Without a list of services every reference would be reported, though only the list is wrong.
		if c.Candidate.Services.Valid && r.Service.Value != "" && !services[r.Service.Value] {
			c.error(r.Service.problem("the service is not in the list of services", "the name of a service in the list"))
		}
		c.checkPolicy(r)
	}
}

// checkPolicy checks how the jobs of a route are run.
func (c *checker) checkPolicy(r Route) {
	required(c, r.Timeout, "a number of milliseconds")
	inRange(c, r.Timeout, 1, maxTimeMS)
	required(c, r.Target, "a number of milliseconds")
	inRange(c, r.Target, 0, maxTimeMS)
	inRange(c, r.Priority, 0, maxPriority)
	inRange(c, r.Stretch, 1, maxStretch)
	if !r.Priority.Given {
		c.warning(r.Priority.problem("the field is missing, which means 0, the most urgent priority", ""))
	}
	if !r.Stretch.Given {
		c.warning(r.Stretch.problem("the field is missing, so jobs get no time beyond their ideal run time but "+r.Target.Name, ""))
	}
	if a := r.MaxAttempts; !a.Given || a.Valid && a.Value < 1 {
		c.warning(a.problem("fewer attempts than 1 count as 1: a task whose first run fails is not run again", "1 or more"))
	}
	if r.Tickets {
		c.warning(r.Advice.problem("workers of the route require tickets, which samphireplank doesn't support: all its jobs are refused", "no such field, false or {}"))
	}
	if !r.Timeout.Valid || r.Timeout.Value < 1 {
		return
	}
	if r.Target.Valid && r.Timeout.Value < r.Target.Value {
		c.warning(r.Timeout.problem(fmt.Sprintf("the value is below %s, which is %s: jobs count as on time after their request has ended",
			r.Target.Name, r.Target.Text), r.Target.Text+" or more"))
	}
	if attempt := float64(minAttempt / time.Millisecond); r.Timeout.Value < attempt {
		c.warning(r.Timeout.problem(fmt.Sprintf("one attempt whose start is lost takes at least %v ms", attempt), fmt.Sprintf("%v or more", attempt)))
	}
}

// headerOverhead is the part of the smallest header, without the request line, that does not depend on the route.
const headerOverhead = len("Host: \r\n\r\n")

func (c *checker) checkLimits() {
	l := c.Candidate.Limits
	inRange(c, l.MaxHeader, 0, maxBytes)
	inRange(c, l.MaxBody, 0, maxBytes)
	inRange(c, l.HeaderTimeout, 0, maxTimeMS)
	inRange(c, l.IdleTimeout, 0, maxTimeMS)
	header, idle := l.HeaderTimeout, l.IdleTimeout
	// A limit of 0 means the default and contradicts nothing.
	if header.Valid && idle.Value > 0 && header.Value > idle.Value {
		c.warning(header.problem(fmt.Sprintf("the value is above %s, which is %s: a connection may take longer for its headers than it may be idle",
			idle.Name, idle.Text), "at most "+idle.Text))
	}
	if l.MaxBody.Value > 0 && l.MaxBody.Value < int64(c.Candidate.MaxSpec) {
		c.warning(l.MaxBody.problem(fmt.Sprintf("jobs may have a description of %d bytes, and their requests would be refused", c.Candidate.MaxSpec),
			fmt.Sprintf("%d or more", c.Candidate.MaxSpec)))
	}
	for _, r := range c.Candidate.Routes.Value {
		if header.Value > 0 && r.Timeout.Value >= 1 && header.Value > r.Timeout.Value {
			c.warning(header.problem(fmt.Sprintf("the value is above %s of %s, which is %s: a request may take longer for its headers than it may last",
				r.Timeout.Name, r.Label, r.Timeout.Text), "at most "+r.Timeout.Text))
		}
		if least := headerOverhead + len(r.Host.Value); l.MaxHeader.Value > 0 && l.MaxHeader.Value < int64(least) {
			c.warning(l.MaxHeader.problem(fmt.Sprintf("the smallest request of %s has a header of %d bytes and would be refused", r.Label, least),
				fmt.Sprintf("%d or more", least)))
		}
	}
}

// checkWorkers reports routes whose service has no worker that takes new work.
func (c *checker) checkWorkers() {
	if c.Workers == nil {
		return
	}
	c.findings = append(c.findings, c.Workers.Findings...)
	ready, draining := map[string]int{}, map[string]int{}
	for _, w := range c.Workers.List {
		if w.Draining {
			draining[w.Service]++
		} else {
			ready[w.Service]++
		}
	}
	for _, r := range c.Candidate.Routes.Value {
		service := r.Service.Value
		switch {
		case service == "" || ready[service] > 0:
		case draining[service] > 0:
			c.warning(r.Service.problem(fmt.Sprintf("all workers of the service (%d) are draining, so no task of the route can start", draining[service]), ""))
		default:
			c.warning(r.Service.problem("the service has no worker, so no job of the route can run", serviceList(ready)))
		}
	}
}

// serviceList names the services that have workers.
func serviceList(ready map[string]int) string {
	if len(ready) == 0 {
		return ""
	}
	return "a service with workers: " + strings.Join(sortedKeys(ready), ", ")
}
