package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against callers that are sent to another region although routers are in theirs, and
// against an answer that changes where all routers are in one region.
func TestByRegion(t *testing.T) {
	two := []Located{{"a", "east"}, {"b", "west"}, {"c", ""}, {"d", "east"}}
	one := []Located{{"a", "east"}, {"b", "east"}}
	for _, c := range []struct {
		routers  []Located
		region   string
		homes    []string
		expected []string
	}{
		{two, "east", nil, []string{"a", "d"}},
		{two, "east", []string{"west", "east"}, []string{"a", "d", "b"}},
		{two, "north", []string{"west"}, []string{"b"}},
		{two, "north", []string{"south"}, []string{"a", "b", "c", "d"}},
		{two, "", nil, []string{"a", "b", "c", "d"}},
		{one, "east", nil, []string{"a", "b"}},
		{one, "west", nil, []string{"a", "b"}},
		{one, "east", []string{"east"}, []string{"a", "b"}},
		{nil, "east", nil, nil},
	} {
		assert.DeepEqual(t, ByRegion(c.routers, c.region, c.homes), c.expected)
	}
}
