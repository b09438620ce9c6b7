package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a receiver that accepts a stale confirmation as fresh: clock
// offsets and message delays must never make the confirming call look younger
// than it is.
func TestEchoConfirmationNotYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := func(name string) func(real time.Duration) time.Duration {
			offset := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name))
			return func(real time.Duration) time.Duration { return real + offset }
		}
		sender, receiver := clock("sender"), clock("receiver")
		draw := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		}
		stampedAt := draw("stampedAt")
		arrivedAt := stampedAt + draw("underWay")
		confirmedAt := draw("confirmedAt")
		lease := NewLease(5 * time.Second).Confirm(sender(confirmedAt))
		echo, ok := lease.EchoTo(receiver(stampedAt), sender(arrivedAt))
		assert.Assert(t, ok)
		assert.Assert(t, echo.ConfirmedAt() <= receiver(confirmedAt))
	})
}

func TestEchoWithoutConfirmation(t *testing.T) {
	_, ok := NewLease(time.Second).EchoTo(1, 2)
	assert.Assert(t, !ok)
}
