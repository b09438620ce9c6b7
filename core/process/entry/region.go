package entry

import "slices"

// Located is a router that serves callers. Its region may be unknown, that is empty.
type Located struct {
	Address, Region string
}

// ByRegion returns the addresses of the routers for a caller in a region: those in the region,
// then those in homes, the regions to which requests may be sent. Others are returned only if
// there are none. Within each part, the order is kept. An empty region is unknown; without
// homes, all routers are returned then.
func ByRegion(routers []Located, region string, homes []string) []string {
	var near, atHome, others []string
	for _, router := range routers {
		switch {
		case region != "" && router.Region == region:
			near = append(near, router.Address)
		case slices.Contains(homes, router.Region):
			atHome = append(atHome, router.Address)
		default:
			others = append(others, router.Address)
		}
	}
	if len(near)+len(atHome) == 0 {
		return others
	}
	return append(near, atHome...)
}
