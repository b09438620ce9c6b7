package hosted

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/fleet/process/boottime"
)

// Guards against callers that are sent to lost routers by one that has just woken up: before its
// control goroutine runs, and from beacons that waited in its queue.
func TestAddressesAfterPause(t *testing.T) {
	c, others := newControlWithPeers(t, 3)
	r := &Router{control: c, settings: c.settings.Load()}
	c.publishLive(boottime.Now())
	assert.Equal(t, len(r.addresses(nil)), 3)
	c.listedAt.Add(-int64(maxListAge + time.Second))
	assert.DeepEqual(t, r.addresses(nil), []string{r.settings.Callers})
	c.tick()
	assert.Equal(t, len(r.addresses(nil)), 3)

	late, _ := newControlWithPeers(t, 0)
	r = &Router{control: late, settings: late.settings.Load()}
	late.handleEvent(beaconReceived{others[0], boottime.Now() - 8*time.Second})
	late.publishLive(boottime.Now())
	assert.DeepEqual(t, r.addresses(nil), []string{r.settings.Callers})
}
