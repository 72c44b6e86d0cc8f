// Package residency decides in which regions a request may be served. An ingress and a client
// account may each restrict their requests to some regions, and all restrictions apply.
//
// The package does no I/O. Regions is immutable and safe for concurrent use.
package residency

import "slices"

// Regions is a set of regions that may serve a request. The zero value allows every region.
type Regions struct {
	// restricted is set if only the regions in names are allowed.
	restricted bool
	names      []string
}

// Permit returns the regions that every list allows, in the order of the first list. An empty
// list allows every region. If the lists have no region in common, no region is allowed.
func Permit(lists ...[]string) Regions {
	var r Regions
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !r.restricted:
			r = Regions{restricted: true, names: list}
		default:
			r.names = slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	return r
}

// Allows reports whether a region may serve the request.
func (r Regions) Allows(region string) bool {
	return !r.restricted || slices.Contains(r.names, region)
}

// Restricted reports whether some region may not serve the request.
func (r Regions) Restricted() bool {
	return r.restricted
}

// None reports whether no region may serve the request.
func (r Regions) None() bool {
	return r.restricted && len(r.names) == 0
}

// Names returns the allowed regions, nil if every region is allowed. The caller must not
// change the slice.
func (r Regions) Names() []string {
	return r.names
}
