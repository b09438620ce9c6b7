package routetable

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against two lists of regions that together allow what one of them doesn't.
func TestHomesTogetherNeverAllowMore(t *testing.T) {
	regions := rapid.SampledFrom([]string{"", "a", "b", "c"})
	homes := rapid.Custom(func(t *rapid.T) Homes {
		if rapid.Bool().Draw(t, "isRestricted") {
			return append(Homes{}, rapid.SliceOf(regions).Draw(t, "regions")...)
		}
		return nil
	})
	rapid.Check(t, func(t *rapid.T) {
		first, second, region := homes.Draw(t, "first"), homes.Draw(t, "second"), regions.Draw(t, "region")
		both := first.And(second)
		assert.Equal(t, both.Allows(region), first.Allows(region) && second.Allows(region), "%v %v %q", first, second, region)
		assert.Equal(t, both.IsRestricted(), first.IsRestricted() || second.IsRestricted())
	})
}

// Guards against a host whose routes allow no region and that is taken for one without homes.
func TestHomesOfHost(t *testing.T) {
	route := func(prefix string, homes Homes) Route {
		return Route{Host: "a.example", Prefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}, Homes: homes}
	}
	table, err := New(Spec{Routes: []Route{route("/1/", Homes{"b", "a"}), route("/2/", nil), route("/3/", Homes{"c", "a"})}})
	assert.NilError(t, err)
	assert.DeepEqual(t, table.HomesOf("A.example:80"), Homes{"a", "b", "c"})
	assert.Assert(t, !table.HomesOf("other.example").IsRestricted())
}
