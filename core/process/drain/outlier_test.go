package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against refusing all requests of a route during a stop since one endpoint hung before it.
func TestOneHungRequestDoesNotRefuseAllOthers(t *testing.T) {
	d := NewDurations()
	const callerLimit = 15 * time.Second
	hung := d.Begin("route", 0)
	d.End(hung, callerLimit, true)
	now := callerLimit
	for range 1000 {
		request := d.Begin("route", now)
		now += 20 * time.Millisecond
		d.End(request, now, true)
	}
	expected, isKnown := d.Expected("route", now)
	p := Plan{AddressesExpireAt: now + 3*time.Second, AnswerBy: now + 7300*time.Millisecond, ExitAt: now + 7700*time.Millisecond}
	assert.Assert(t, p.Admits(now, callerLimit, expected, isKnown), "1 of 1001 requests took %v, the others 20 ms: expected %v", callerLimit, expected)
}
