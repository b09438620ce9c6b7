package claims

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/core/process/membership"
	"gentianhead/core/request/claim"
	"gentianhead/fleet/connection/frame"
	"gentianhead/fleet/connection/peer"
)

// relayFleet connects relays in memory. If err is set, all calls fail with it.
type relayFleet struct {
	relays map[string]*relay
	err    error
}

func (f *relayFleet) Call(_ context.Context, address string, _ frame.Type, question, answer any) error {
	if f.err != nil {
		return f.err
	}
	*answer.(*writesAnswer) = f.relays[address].answer(question.(writesRequest))
	return nil
}

func newRelayFleet(t *testing.T, size int, table *fakeTable) (*relayFleet, []*relay) {
	t.Helper()
	f := &relayFleet{relays: make(map[string]*relay)}
	view := &membership.View{}
	for i := range size {
		name := fmt.Sprintf("router-%d", i)
		view.Routers = append(view.Routers, membership.Router{Instance: name, PeerAddress: name})
	}
	var list []*relay
	for _, router := range view.Routers {
		direct := NewWriter(TableSink(table), newCommitPacer())
		t.Cleanup(direct.Close)
		r := &relay{self: router, view: func() *membership.View { return view }, peers: f, direct: direct, rate: &rowRate{}}
		f.relays[router.PeerAddress] = r
		list = append(list, r)
	}
	return f, list
}

// exceedRate raises a relay's row rate above the fleet's limit.
func exceedRate(r *relay) {
	r.rate.add(time.Now(), 100*MaxFleetCommitsPerSecond)
}

// Above the fleet's commit rate all routers must select the same committer;
// otherwise their writes don't share transactions.
func TestCommitterSharedAboveRate(t *testing.T) {
	_, relays := newRelayFleet(t, 5, newFakeTable())
	committers := make(map[string]bool)
	for _, r := range relays {
		_, isRelayed := r.committer(time.Now())
		assert.Assert(t, !isRelayed, "an idle router relayed its writes")
		exceedRate(r)
		committer, isRelayed := r.committer(time.Now())
		if !isRelayed {
			committer = r.self
		}
		committers[committer.Instance] = true
	}
	assert.Equal(t, len(committers), 1)
}

// notCommitter raises rates above the limit and returns a relay that is not the
// committer.
func notCommitter(relays []*relay) *relay {
	for _, r := range relays {
		exceedRate(r)
		if _, isRelayed := r.committer(time.Now()); isRelayed {
			return r
		}
	}
	return nil
}

func TestRelayedWritesKeepEvents(t *testing.T) {
	table := newFakeTable()
	_, relays := newRelayFleet(t, 3, table)
	r := notCommitter(relays)
	first := r.sink([]Write{rowWrite("claims/a", 0)})
	assert.DeepEqual(t, first, []claim.Event{claim.Committed{Version: 1}})
	second := r.sink([]Write{rowWrite("claims/a", 0), rowWrite("claims/b", 0)})
	assert.DeepEqual(t, second, []claim.Event{claim.Conflicted{}, claim.Committed{Version: 2}})
}

// A router must not write rows outside the claims prefix for another router.
func TestRelayRefusesNonClaimRows(t *testing.T) {
	_, relays := newRelayFleet(t, 1, newFakeTable())
	answer := relays[0].answer(writesRequest{Writes: []Write{rowWrite("desired/head", 0)}})
	assert.DeepEqual(t, answer.Results, []writeResult{{Code: resultRefused}})
}

// A write sent to a committer that does not answer may have been committed, so
// it is lost rather than retried; later writes bypass that committer.
func TestSilentCommitterSkipped(t *testing.T) {
	f, relays := newRelayFleet(t, 3, newFakeTable())
	r := notCommitter(relays)
	silent, _ := r.committer(time.Now())
	f.err = errors.Wrap(peer.ErrNoAnswer, "test")
	assert.DeepEqual(t, r.sink([]Write{rowWrite("claims/a", 0)}), []claim.Event{claim.WriteLost{}})
	next, isRelayed := r.committer(time.Now())
	assert.Assert(t, !isRelayed || next.Instance != silent.Instance)
}

// A write that did not reach the committer is committed directly, not lost.
func TestUndeliveredWriteCommittedDirectly(t *testing.T) {
	f, relays := newRelayFleet(t, 3, newFakeTable())
	r := notCommitter(relays)
	f.err = errors.Wrap(peer.ErrNotSent, "test")
	assert.DeepEqual(t, r.sink([]Write{rowWrite("claims/a", 0)}), []claim.Event{claim.Committed{Version: 1}})
}

func TestRowRateExpiresOldBuckets(t *testing.T) {
	var r rowRate
	start := time.Unix(1_000_000, 0)
	r.add(start, 100)
	assert.Equal(t, r.perSecond(start), 10.0)
	assert.Equal(t, r.perSecond(start.Add(9*time.Second)), 10.0)
	assert.Equal(t, r.perSecond(start.Add(10*time.Second)), 0.0)
	assert.Equal(t, r.perSecond(start.Add(time.Hour)), 0.0)
}

func TestPacerDelaysAfterBurst(t *testing.T) {
	p := &pacer{interval: 10 * time.Millisecond, burst: 3}
	start := time.Unix(1_000_000, 0)
	var waits []time.Duration
	for range 6 {
		waits = append(waits, p.delay(start)/time.Millisecond)
	}
	assert.DeepEqual(t, waits, []time.Duration{0, 0, 0, 0, 10, 20})
	assert.Equal(t, p.delay(start.Add(time.Hour)), time.Duration(0))
	assert.Equal(t, (&pacer{}).delay(start), time.Duration(0))
}
