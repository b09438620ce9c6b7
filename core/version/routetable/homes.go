package routetable

import (
	"maps"
	"slices"
)

// Homes are the regions to which requests may be sent. Nil allows all regions, also unknown
// ones; an empty list allows none.
type Homes []string

// IsRestricted reports whether some regions are not allowed.
func (h Homes) IsRestricted() bool { return h != nil }

// Allows reports whether requests may be sent to a region, which is empty if it is unknown.
func (h Homes) Allows(region string) bool {
	return h == nil || region != "" && slices.Contains(h, region)
}

// And returns the regions that both allow.
func (h Homes) And(other Homes) Homes {
	if h == nil {
		return other
	}
	if other == nil {
		return h
	}
	both := Homes{}
	for _, region := range h {
		if other.Allows(region) {
			both = append(both, region)
		}
	}
	return both
}

// HomesOf returns the regions that restricted routes of a host allow, sorted; nil if it has no
// such route.
func (t *Table) HomesOf(host string) Homes {
	regions := make(map[string]struct{})
	isRestricted := false
	for _, route := range t.byHost[NormalizeHost(host)] {
		isRestricted = isRestricted || route.Homes.IsRestricted()
		for _, region := range route.Homes {
			regions[region] = struct{}{}
		}
	}
	if !isRestricted {
		return nil
	}
	return Homes(slices.Sorted(maps.Keys(regions)))
}
