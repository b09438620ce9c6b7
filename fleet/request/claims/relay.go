package claims

import (
	"context"
	"expvar"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/membership"
	"gentianhead/core/request/claim"
	"gentianhead/fleet/connection/frame"
	"gentianhead/fleet/connection/peer"
)

// TypeWrites is the call that sends claim writes to the committing router.
const TypeWrites frame.Type = 40

// MaxFleetCommitsPerSecond is the target limit on claim transactions of the
// whole fleet: a quarter of what the table service handles.
const MaxFleetCommitsPerSecond = 75

// Limits of relaying.
const (
	// relayTimeout bounds the wait for the committing router. It is longer than
	// a call to the platform.
	relayTimeout = 3 * time.Second
	// skipDuration is how long a router is not selected after a failed call.
	skipDuration = 5 * time.Second
	// maxRouterCommitsPerSecond limits the transactions of one router. It is below
	// MaxFleetCommitsPerSecond because other routers still commit some directly.
	maxRouterCommitsPerSecond = 70
	// commitBurst is how many transactions a router may start ahead of its rate.
	commitBurst = 8
)

// relayedRows counts the rows that another router wrote for this one.
var relayedRows = expvar.NewInt("claims.relayedRows")

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address string, callType frame.Type, question, answer any) error
}

// resultCode is the wire encoding of a write's event.
type resultCode uint8

const (
	resultLost resultCode = iota
	resultCommitted
	resultConflicted
	resultRefused
)

type writeResult struct {
	Code    resultCode `msgpack:"c"`
	Version uint64     `msgpack:"v,omitempty"`
}

type writesRequest struct {
	Writes []Write `msgpack:"w"`
}

type writesAnswer struct {
	Results []writeResult `msgpack:"r"`
}

// relay sends writes through one router of the fleet while the fleet's write
// rate is above MaxFleetCommitsPerSecond, so that writes of many routers share
// transactions. Routers that select different committing routers only cost
// extra transactions, since every write is a compare-and-set.
type relay struct {
	self   membership.Router
	view   func() *membership.View
	peers  Caller
	direct *Writer
	rate   *rowRate

	mu        sync.Mutex
	skipped   string
	skipUntil time.Time
}

// sink is the Sink for the writes of this router's own requests.
func (r *relay) sink(writes []Write) []claim.Event {
	now := time.Now()
	r.rate.add(now, len(writes))
	committer, ok := r.committer(now)
	if !ok {
		return r.direct.DoAll(writes)
	}
	events, err := r.send(committer, writes)
	switch {
	case errors.Is(err, peer.ErrNotSent), errors.Is(err, peer.ErrUnknownCall):
		r.skip(now, committer.Instance)
		return r.direct.DoAll(writes)
	case err != nil:
		r.skip(now, committer.Instance)
		lost := make([]claim.Event, len(writes))
		fillPending(lost, claim.WriteLost{})
		return lost
	}
	relayedRows.Add(int64(len(writes)))
	return r.retryRefused(writes, events)
}

// committer returns the router that commits for the fleet, and false when this
// router should commit directly. It assumes that all routers write rows at this
// router's rate, each in its own transaction.
func (r *relay) committer(now time.Time) (membership.Router, bool) {
	routers := r.view().Routers
	if r.rate.perSecond(now)*float64(len(routers)) <= MaxFleetCommitsPerSecond {
		return membership.Router{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var best membership.Router
	var bestScore uint64
	for _, router := range routers {
		isSkipped := router.Instance == r.skipped && now.Before(r.skipUntil)
		score := entry.Score("claims", router.Instance)
		if !router.Leaving && !isSkipped && score >= bestScore {
			best, bestScore = router, score
		}
	}
	return best, best.Instance != "" && best.Instance != r.self.Instance
}

func (r *relay) skip(now time.Time, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped, r.skipUntil = instance, now.Add(skipDuration)
}

func (r *relay) send(committer membership.Router, writes []Write) ([]claim.Event, error) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	var answer writesAnswer
	if err := r.peers.Call(ctx, committer.PeerAddress, TypeWrites, writesRequest{Writes: writes}, &answer); err != nil {
		return nil, err
	}
	if len(answer.Results) != len(writes) {
		return nil, errors.Newf("claims: %d results for %d writes", len(answer.Results), len(writes))
	}
	events := make([]claim.Event, len(writes))
	for i, result := range answer.Results {
		events[i] = result.event()
	}
	return events, nil
}

func (w writeResult) event() claim.Event {
	switch w.Code {
	case resultCommitted:
		return claim.Committed{Version: w.Version}
	case resultConflicted:
		return claim.Conflicted{}
	case resultRefused:
		return claim.WriteRefused{}
	}
	return claim.WriteLost{}
}

// retryRefused retries directly the writes that the committing router refused.
func (r *relay) retryRefused(writes []Write, events []claim.Event) []claim.Event {
	var refused []int
	var retries []Write
	for i, event := range events {
		if _, isRefused := event.(claim.WriteRefused); isRefused {
			refused = append(refused, i)
			retries = append(retries, writes[i])
		}
	}
	for i, event := range r.direct.DoAll(retries) {
		events[refused[i]] = event
	}
	return events
}

// answer performs the writes of another router. It is called on the goroutine
// of that router's connection.
func (r *relay) answer(request writesRequest) writesAnswer {
	answer := writesAnswer{Results: make([]writeResult, len(request.Writes))}
	for _, write := range request.Writes {
		if !strings.HasPrefix(write.Key, RowPrefix) {
			fillResults(answer.Results, resultRefused)
			return answer
		}
	}
	for i, event := range r.direct.DoAll(request.Writes) {
		answer.Results[i] = resultOf(event)
	}
	return answer
}

func fillResults(results []writeResult, code resultCode) {
	for i := range results {
		results[i].Code = code
	}
}

func resultOf(event claim.Event) writeResult {
	switch e := event.(type) {
	case claim.Committed:
		return writeResult{Code: resultCommitted, Version: e.Version}
	case claim.Conflicted:
		return writeResult{Code: resultConflicted}
	case claim.WriteRefused:
		return writeResult{Code: resultRefused}
	}
	return writeResult{Code: resultLost}
}
