package preflight

import (
	"fmt"
	"maps"
	"net"
	"regexp"
	"slices"
	"strings"
)

// What is allowed for the fields by which routes match.
const (
	allowedHost   = "a host name without a port"
	allowedPrefix = "a path that begins with /, without escapes"
)

// sortedKeys returns the keys of a map in order.
func sortedKeys(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }

// hostProblem returns why no request can have a host, or an empty string. Requests are compared without their port.
func hostProblem(host string) string {
	switch {
	case strings.Contains(host, "://"):
		return "the host has a scheme, which the host of a request never has"
	case strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || r == 0x7f || strings.ContainsRune("/?#@", r) }):
		return "the host has a character that the host of a request never has"
	case strings.Contains(host, "*"):
		return "hosts are compared as they are; * stands for nothing else"
	case strings.Contains(host, ":") && net.ParseIP(strings.Trim(host, "[]")) == nil:
		return "the host has a port, and requests are compared without their port"
	}
	return ""
}

// escape is an escape in a path. A % that begins no escape stands for itself.
var escape = regexp.MustCompile("%[0-9A-Fa-f]{2}")

// prefixProblem returns why requests whose path begins with a prefix don't match it, or an empty string. Paths are compared after
// their escapes are decoded and their empty and dot segments are resolved.
func prefixProblem(prefix string) string {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return "every path begins with /"
	case strings.ContainsAny(prefix, "?#"):
		return "the path of a request ends before ? and #"
	case escape.MatchString(prefix):
		return "paths are compared after their escapes are decoded"
	case strings.Contains(prefix, "//"), strings.Contains(prefix, "/./"), strings.Contains(prefix, "/../"):
		return "paths are compared without empty and dot segments"
	}
	return ""
}

// checkMatches reports routes that get no request, and those that get requests which another route would get otherwise.
func (c *checker) checkMatches() {
	routes := c.Candidate.Routes.Value
	for i, r := range routes {
		if reason := hostProblem(r.Host.Value); reason != "" {
			c.warning(r.Host.problem("the route can never match: "+reason, allowedHost))
		}
		if reason := prefixProblem(r.Prefix.Value); r.Prefix.Value != "" && reason != "" {
			c.warning(r.Prefix.problem("the route never matches a request with this path: "+reason, allowedPrefix))
		}
		if r.Host.Value == "" || r.Prefix.Value == "" {
			continue
		}
		for j, other := range routes {
			if !strings.EqualFold(r.Host.Value, other.Host.Value) || other.Prefix.Value == "" {
				continue
			}
			if r.Prefix.Value == other.Prefix.Value {
				if j < i {
					c.error(r.Prefix.problem(fmt.Sprintf("%s in line %d has the same host and prefix and gets all requests", other.Label, other.Prefix.Line),
						"a host and prefix that no other route has"))
					break
				}
				continue
			}
			if strings.HasPrefix(r.Prefix.Value, other.Prefix.Value) {
				c.warning(r.Prefix.problem(fmt.Sprintf("the route shadows %s, whose prefix is %q: the longest prefix gets the request", other.Label, other.Prefix.Value), ""))
			}
		}
	}
}

// routeOf returns the route that gets the requests to a host and prefix.
func (c *Configuration) routeOf(host, prefix string) (Route, bool) {
	var best Route
	found := false
	for _, r := range c.Routes.Value {
		p := r.Prefix.Value
		if r.Host.Value != "" && p != "" && strings.EqualFold(r.Host.Value, host) && strings.HasPrefix(prefix, p) && (!found || len(p) > len(best.Prefix.Value)) {
			best, found = r, true
		}
	}
	return best, found
}
