package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/membership"
)

func viewOf(size, zones int) *membership.View {
	view := &membership.View{}
	for i := range size {
		view.Routers = append(view.Routers, membership.Router{
			Instance:      fmt.Sprintf("router-%d", i),
			Zone:          fmt.Sprintf("zone-%d", i%zones),
			CallerAddress: fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	return view
}

func zoneOf(view *membership.View, address string) string {
	for _, r := range view.Routers {
		if r.CallerAddress == address {
			return r.Zone
		}
	}
	return ""
}

func TestAlternativesInOtherZones(t *testing.T) {
	view := viewOf(7, 3)
	for chat := range 100 {
		addresses := AddressesFor(view, Query{Chat: fmt.Sprint(chat)})
		assert.Equal(t, len(addresses), MaxAddresses)
		zones := map[string]bool{}
		for _, address := range addresses {
			zones[zoneOf(view, address)] = true
		}
		assert.Equal(t, len(zones), 3)
	}
	assert.Equal(t, len(AddressesFor(viewOf(7, 1), Query{Chat: "c"})), MaxAddresses)
}

func TestLeavingRouterMovesOnlyOwnChats(t *testing.T) {
	view := viewOf(7, 3)
	leaving := viewOf(7, 3)
	leaving.Routers[2].Leaving = true
	moved := 0
	for chat := range 1000 {
		query := Query{Chat: fmt.Sprint(chat)}
		before, after := AddressesFor(view, query)[0], AddressesFor(leaving, query)[0]
		if before == leaving.Routers[2].CallerAddress {
			moved++
			assert.Assert(t, after != before)
			continue
		}
		assert.Equal(t, after, before)
	}
	assert.Assert(t, moved > 0)
}

func TestSingleRouterView(t *testing.T) {
	view := viewOf(1, 1)
	assert.DeepEqual(t, AddressesFor(view, Query{Chat: "c"}), []string{"10.0.0.0:80"})
	assert.Equal(t, len(AddressesFor(view, Query{Chat: "c", Excluded: "router-0"})), 0)
	view.Routers[0].Leaving = true
	assert.Equal(t, len(AddressesFor(view, Query{Chat: "c"})), 0)
}
