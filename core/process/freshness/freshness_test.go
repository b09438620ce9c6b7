package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestLeaseNotFreshBeforeConfirmation(t *testing.T) {
	assert.Assert(t, !NewLease(5*time.Second).IsFresh(0))
	assert.Assert(t, !NewLease(0).IsFresh(time.Hour))
}

func TestLeaseWithoutBoundNeverExpires(t *testing.T) {
	assert.Assert(t, NewLease(0).Confirm(0).IsFresh(1000*time.Hour))
}

func TestLeaseAgeFromCallStart(t *testing.T) {
	// The call started at 1 s and was answered at 4 s; only its start counts.
	lease := NewLease(5 * time.Second).Confirm(time.Second)
	assert.Assert(t, lease.IsFresh(5400*time.Millisecond))
	assert.Assert(t, !lease.IsFresh(5500*time.Millisecond))
}

func TestLeaseConfirmOutOfOrder(t *testing.T) {
	lease := NewLease(5 * time.Second).Confirm(10 * time.Second).Confirm(7 * time.Second)
	age, _ := lease.Age(12 * time.Second)
	assert.Equal(t, age, 2*time.Second)
}

// Guards against a removed secret being accepted for longer than the bound. Store
// calls see the state of any moment between their start and end, and the router
// may be suspended between calls.
func TestLeaseRemovedSecretWithinBound(t *testing.T) {
	const bound = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		removedAt := rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "removedAt")
		lease := NewLease(bound)
		knowsRemoval := false
		now := int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			start := now
			end := start + rapid.Int64Range(1, int64(4*time.Second)).Draw(t, "took")
			seenAt := rapid.Int64Range(start, end).Draw(t, "seenAt")
			now = end + rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "suspended")
			if rapid.Bool().Draw(t, "isAnswered") {
				knowsRemoval = knowsRemoval || seenAt >= removedAt
				lease = lease.Confirm(time.Duration(start))
			}
			if isAccepted := !knowsRemoval && lease.IsFresh(time.Duration(now)); isAccepted && now > removedAt+int64(bound) {
				t.Fatalf("secret accepted %v after its removal", time.Duration(now-removedAt))
			}
		}
	})
}

func TestLeaseWithBoundKeepsConfirmation(t *testing.T) {
	lease := NewLease(5 * time.Second).Confirm(10 * time.Second)
	assert.Assert(t, lease.IsFresh(13*time.Second))
	shorter := lease.WithBound(2 * time.Second)
	assert.Assert(t, !shorter.IsFresh(13*time.Second))
	assert.Assert(t, shorter.IsFresh(11*time.Second))
	assert.Assert(t, lease.WithBound(0).IsFresh(time.Hour))
}
