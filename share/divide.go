package share

import (
	"cmp"
	"slices"
)

// Divide divides the capacity between routes, max-min fair by their demands: a route gets its demand or as much as any other
// route that gets less than its demand. What exceeds all demands is not divided.
func Divide(capacity float64, demands map[string]float64) map[string]float64 {
	routes := make([]string, 0, len(demands))
	for route := range demands {
		routes = append(routes, route)
	}
	slices.SortFunc(routes, func(a, b string) int {
		return cmp.Or(cmp.Compare(demands[a], demands[b]), cmp.Compare(a, b))
	})
	shares := make(map[string]float64, len(demands))
	for i, route := range routes {
		shares[route] = min(demands[route], max(capacity, 0)/float64(len(routes)-i))
		capacity -= shares[route]
	}
	return shares
}

// Deprived returns the routes that get less than the given part of their share. The capacity is what all routes get now, so
// that it counts cores that no task fits into as missing. Without known demands, no route is deprived.
func Deprived(demands, served map[string]float64, part float64) map[string]bool {
	total := 0.0
	for _, rate := range served {
		total += rate
	}
	var deprived map[string]bool
	for route, entitled := range Divide(total, demands) {
		if served[route] < part*entitled {
			if deprived == nil {
				deprived = map[string]bool{}
			}
			deprived[route] = true
		}
	}
	return deprived
}
