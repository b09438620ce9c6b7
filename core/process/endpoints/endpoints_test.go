package endpoints

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func entryOf(id string) Entry {
	return Entry{ID: id, Service: "pool", Address: id + ":80", Slots: 4, StartedAt: 1}
}

// up returns a core that has read a and b from a store that answers.
func up() *Core {
	c := New()
	c.StoreBack(0)
	c.Listed(0, []Entry{entryOf("a"), entryOf("b")})
	return c
}

func has(c *Core, id string) bool {
	_, ok := c.View().Find(id)
	return ok
}

func TestDrainingEndpointGetsNothingNew(t *testing.T) {
	c := up()
	draining := entryOf("a")
	draining.IsDraining = true
	c.Changed(draining)
	assert.Assert(t, !has(c, "a"))
	assert.Equal(t, len(c.View().Of("pool")), 1)
}

func TestRemovedEntryMeansGoneWhileTheStoreAnswers(t *testing.T) {
	c := up()
	c.Removed(10*time.Second, "a")
	assert.Assert(t, !has(c, "a"))
}

func TestEntriesThatLapseWithTheStoreStayUntilTheyHadTimeToReturn(t *testing.T) {
	c := up()
	c.StoreAway()
	c.StoreBack(20 * time.Second)
	c.Listed(20*time.Second, nil)
	assert.Assert(t, has(c, "a") && has(c, "b"))
	c.Changed(entryOf("a"))
	assert.Assert(t, !c.Tick(22*time.Second), "too early to give b up")
	assert.Assert(t, has(c, "b"))
	assert.Assert(t, c.Tick(20*time.Second+ReturnGrace))
	assert.Assert(t, has(c, "a"), "a came back")
	assert.Assert(t, !has(c, "b"), "b is still missing and so gone")
}

func TestEntryRemovedWhileTheStoreIsAwayStays(t *testing.T) {
	c := up()
	c.StoreAway()
	c.Removed(5*time.Second, "a")
	assert.Assert(t, has(c, "a"))
	assert.Assert(t, !c.Tick(time.Hour), "the store has not returned yet")
}

func TestEndpointThatWasDrainingIsGoneAtOnceInAnOutage(t *testing.T) {
	c := up()
	draining := entryOf("a")
	draining.IsDraining = true
	c.Changed(draining)
	c.StoreAway()
	c.Removed(time.Second, "a")
	c.StoreBack(2 * time.Second)
	c.Changed(entryOf("b"))
	assert.Assert(t, !has(c, "a"))
}

func TestLapsedEntryGivesWayToTheNewHolderOfItsAddress(t *testing.T) {
	c := up()
	c.StoreAway()
	c.Removed(time.Second, "a")
	reused := entryOf("c")
	reused.Address = "a:80"
	c.Changed(reused)
	assert.Assert(t, !has(c, "a"))
	assert.Assert(t, has(c, "c"))
}

func TestFirstReadAfterAStartIsNoReturn(t *testing.T) {
	c := New()
	c.StoreAway()
	c.StoreBack(time.Second)
	c.Listed(time.Second, []Entry{entryOf("a")})
	c.Removed(2*time.Second, "a")
	assert.Assert(t, !has(c, "a"), "a router that never saw the store has nothing to keep")
}
