package object

import (
	"cmp"
	"slices"
	"strings"
)

// RouteMatch is a route together with its service.
type RouteMatch struct {
	Service *Service
	Route   *Route
}

// routeKey is the method and the path of a route.
type routeKey struct {
	method, path string
}

// routeTable finds routes by method and path. It looks up one prefix of the path
// for each length of a prefix route in the set, so the cost of a match depends on
// the set and not on the number of segments in a caller's path.
type routeTable struct {
	exact    map[routeKey][]RouteMatch
	prefixes map[routeKey][]RouteMatch
	// lengths are the lengths of all prefixes, the longest first.
	lengths []int
}

// newRouteTable returns a table of the routes of services. The matches of a route
// are in the order of their services' names.
func newRouteTable(services []Service) routeTable {
	t := routeTable{exact: map[routeKey][]RouteMatch{}, prefixes: map[routeKey][]RouteMatch{}}
	ordered := pointers(services)
	slices.SortStableFunc(ordered, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, service := range ordered {
		routes := service.AllRoutes()
		for i := range routes {
			t.add(RouteMatch{Service: service, Route: &routes[i]})
		}
	}
	slices.SortFunc(t.lengths, func(a, b int) int { return cmp.Compare(b, a) })
	t.lengths = slices.Compact(t.lengths)
	return t
}

func (t *routeTable) add(m RouteMatch) {
	key := routeKey{m.Route.Method, m.Route.Path}
	if !strings.HasSuffix(key.path, "/") {
		t.exact[key] = append(t.exact[key], m)
		return
	}
	t.prefixes[key] = append(t.prefixes[key], m)
	t.lengths = append(t.lengths, len(key.path))
}

// match returns the routes with the path or, if there is none, those with its
// longest prefix.
func (t *routeTable) match(method, path string) []RouteMatch {
	if matches := t.exact[routeKey{method, path}]; matches != nil {
		return matches
	}
	for _, length := range t.lengths {
		if length > len(path) || path[length-1] != '/' {
			continue
		}
		if matches := t.prefixes[routeKey{method, path[:length]}]; matches != nil {
			return matches
		}
	}
	return nil
}
