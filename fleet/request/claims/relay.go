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

// TypeWrites is the call that hands claim writes to the committing router.
const TypeWrites frame.Type = 40

// CommitBudget is how many transactions a second the fleet makes for claims
// where it can: a quarter of what the table service handles.
const CommitBudget = 75

// Limits of relaying.
const (
	// relayTimeout bounds the wait for the committing router. It is longer than
	// a call to the platform.
	relayTimeout = 3 * time.Second
	// shunTime is how long a router that failed to answer is passed over.
	shunTime = 5 * time.Second
	// commitRate is how many transactions a second one router starts, below
	// CommitBudget by what other routers still commit themselves.
	commitRate = 70
	// commitBurst is how many transactions a router starts without a wait.
	commitBurst = 8
)

// relayedRows counts the rows that another router wrote for this one.
var relayedRows = expvar.NewInt("claims.relayedRows")

// Caller reaches other routers.
type Caller interface {
	Call(ctx context.Context, address string, callType frame.Type, question, answer any) error
}

// resultCode is an event of a write on the wire.
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

// relay sends writes through one router of the fleet while the fleet writes
// more than its budget, so that writes of many routers share transactions. Two
// routers may pick different committing routers; that costs transactions and
// nothing else, since every write stays a compare-and-set.
type relay struct {
	self   membership.Router
	view   func() *membership.View
	peers  Caller
	direct *Writer
	rate   *rowRate

	mu        sync.Mutex
	shunned   string
	shunUntil time.Time
}

// sink is the Sink of this router's own writes.
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
		r.shun(now, committer.Instance)
		return r.direct.DoAll(writes)
	case err != nil:
		r.shun(now, committer.Instance)
		lost := make([]claim.Event, len(writes))
		settlePending(lost, claim.WriteLost{})
		return lost
	}
	relayedRows.Add(int64(len(writes)))
	return r.retryRefused(writes, events)
}

// committer returns the router that commits for the fleet, and false when this
// router should commit itself.
func (r *relay) committer(now time.Time) (membership.Router, bool) {
	routers := r.view().Routers
	if r.rate.perSecond(now)*float64(len(routers)) <= CommitBudget {
		return membership.Router{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var best membership.Router
	var bestScore uint64
	for _, router := range routers {
		isShunned := router.Instance == r.shunned && now.Before(r.shunUntil)
		score := entry.Score("claims", router.Instance)
		if !router.Leaving && !isShunned && score >= bestScore {
			best, bestScore = router, score
		}
	}
	return best, best.Instance != "" && best.Instance != r.self.Instance
}

func (r *relay) shun(now time.Time, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shunned, r.shunUntil = instance, now.Add(shunTime)
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

// retryRefused writes directly what the committing router could not.
func (r *relay) retryRefused(writes []Write, events []claim.Event) []claim.Event {
	var refused []int
	var again []Write
	for i, event := range events {
		if _, isRefused := event.(claim.WriteRefused); isRefused {
			refused = append(refused, i)
			again = append(again, writes[i])
		}
	}
	for i, event := range r.direct.DoAll(again) {
		events[refused[i]] = event
	}
	return events
}

// answer carries out the writes of another router. It is called from the
// goroutine of that router's connection.
func (r *relay) answer(request writesRequest) writesAnswer {
	answer := writesAnswer{Results: make([]writeResult, len(request.Writes))}
	for _, write := range request.Writes {
		if !strings.HasPrefix(write.Key, RowPrefix) {
			settleResults(answer.Results, resultRefused)
			return answer
		}
	}
	for i, event := range r.direct.DoAll(request.Writes) {
		answer.Results[i] = resultOf(event)
	}
	return answer
}

func settleResults(results []writeResult, code resultCode) {
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
