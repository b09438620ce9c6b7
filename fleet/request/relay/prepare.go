package relay

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"gentianhead/core/version/routetable"
	"gentianhead/fleet/connection/upstream"
	"gentianhead/fleet/process/boottime"
)

const (
	// retryNotReady is the retry delay for a router that has just started.
	retryNotReady = 500 * time.Millisecond
	// retryStale is the retry delay for a router without contact to the store. Other
	// routers can serve the request immediately.
	retryStale = time.Second
	// retryBehind is the retry delay for a router that is about to get a newer
	// configuration.
	retryBehind = 300 * time.Millisecond
	// retryBodyMemory is the retry delay when BodyMemory is exhausted.
	retryBodyMemory = 500 * time.Millisecond
	// defaultMaxBodyBytes is the body limit when the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	bodyReadTimeout     = 30 * time.Second
	// bodyPauseTimeout is how long a body may pause: longer than callers wait for an answer, also
	// where a link is down for seconds. minBodyRate, in bytes per second, is the slowest rate of a
	// body from then on. Slow mobile links have ten times that rate.
	bodyPauseTimeout = 15 * time.Second
	minBodyRate      = 512
	// firstBodyBytes is the memory for a body at first.
	firstBodyBytes = 4 << 10
)

// prepare authorizes the request, selects its service and reads the body.
func (r *Relay) prepare(c *call) *failure {
	metadata, err := r.options.Dialect.RequestInfo(c.r.Header)
	c.metadata = metadata
	if err != nil {
		return newFailure(kindBadRequest, err.Error())
	}
	state := r.options.State()
	if state.Table == nil {
		return newFailure(kindNotReady, "this router has no configuration yet").withRetryAfter(retryNotReady)
	}
	c.version = state.Table.Version
	c.target = targetOf(c.r)
	if !upstream.CanSend(c.target) {
		return newFailure(kindBadRequest, "the path can't be passed on unchanged")
	}
	if failure := c.authorize(state); failure != nil {
		return failure
	}
	c.service = c.route.Pick(rand.Float64())
	if failure := r.checkStop(c, r.timeLimit(c)); failure != nil {
		return failure
	}
	return r.readBody(c, state.Table.Limits.BodyBytes)
}

// authorize finds the route and the client account of the request.
func (c *call) authorize(state State) *failure {
	if failure := checkUpToDate(state); failure != nil {
		return failure
	}
	route, found := state.Table.Match(c.r.Host, routetable.DecodePath(pathOf(c.target)))
	if found {
		c.route = route
	}
	if !found {
		return denial(state, kindNoRoute, "no route matches this host and path")
	}
	if route.IsAnonymous || !state.requiresAccount() {
		return nil
	}
	now := boottime.Now()
	c.leaseAge, _ = state.Lease.Age(now)
	if !state.Lease.IsFresh(now) {
		return newFailure(kindStale, "the configuration has not been confirmed recently").withRetryAfter(retryStale)
	}
	account, known := state.Table.Account(c.metadata.Credential)
	if !known {
		return denial(state, kindUnauthenticated, "no client account has this secret")
	}
	c.account = account
	c.holder.MarkKnown()
	return nil
}

// targetOf returns the request target as the caller sent it, without a scheme and host.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// pathOf returns the path of a request target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// checkUpToDate returns a failure if the configuration may not be used any more.
func checkUpToDate(state State) *failure {
	if state.IsOutdated {
		return newFailure(kindStale, "another router has a newer configuration that this one could not get").withRetryAfter(retryStale)
	}
	return nil
}

// denial returns the failure of a request that the configuration does not allow. A newer
// one, which this router is about to get, may allow it.
func denial(state State, kind kind, detail string) *failure {
	if state.IsBehind {
		return newFailure(kindStale, detail+", but a newer configuration is on its way").withRetryAfter(retryBehind)
	}
	return newFailure(kind, detail)
}

// reauthorize repeats the authorization just before a send: while the
// request waited, its secret may have been revoked or the process may have been
// suspended.
func (c *call) reauthorize(state State) *failure {
	if failure := checkUpToDate(state); failure != nil {
		return failure
	}
	if c.account == nil {
		if !c.route.IsAnonymous && state.requiresAccount() {
			return newFailure(kindStale, "requests need the secret of a client account since this one arrived").withRetryAfter(retryBehind)
		}
		return nil
	}
	if !state.Lease.IsFresh(boottime.Now()) {
		return newFailure(kindStale, "the configuration has not been confirmed recently").withRetryAfter(retryStale)
	}
	account, known := state.Table.Account(c.metadata.Credential)
	if !known || account.Name != c.account.Name {
		return newFailure(kindUnauthenticated, "the secret no longer belongs to the client account")
	}
	return nil
}

// readBody buffers the body so that the request can be retried.
func (r *Relay) readBody(c *call, limit int64) *failure {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return newFailure(kindBodyTooLarge, "the body exceeds the size limit")
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	size := limit
	if c.r.ContentLength > 0 {
		size = c.r.ContentLength
	}
	controller := http.NewResponseController(c.w)
	reader := http.MaxBytesReader(c.w, c.r.Body, limit)
	startedAt := time.Now()
	for {
		if len(c.body) == cap(c.body) && !r.growBody(c, size) {
			return newFailure(kindBodyMemory, "the router's memory for request bodies is exhausted").withRetryAfter(retryBodyMemory)
		}
		_ = controller.SetReadDeadline(earlier(startedAt.Add(bodyReadTimeout), time.Now().Add(bodyPauseTimeout)))
		if isStopped(c.r.Context()) {
			// The deadline that ends reads at a stop may have been set before this one.
			return stoppedFailure()
		}
		n, err := reader.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		switch {
		case errors.Is(err, io.EOF):
			_ = controller.SetReadDeadline(time.Time{})
			return nil
		case errors.As(err, new(*http.MaxBytesError)):
			return newFailure(kindBodyTooLarge, "the body exceeds the size limit")
		case err != nil && isStopped(c.r.Context()):
			return stoppedFailure().withCause(err)
		case errors.Is(err, os.ErrDeadlineExceeded) || isTooSlow(len(c.body), time.Since(startedAt)):
			return newFailure(kindBodySlow, "the body arrives too slowly").withCause(err)
		case err != nil:
			return newFailure(kindBodyBroken, "reading the request body failed").withCause(err)
		}
	}
}

// isTooSlow reports whether a body of which n bytes arrived in the time is slower than minBodyRate.
func isTooSlow(n int, elapsed time.Duration) bool {
	return elapsed > bodyPauseTimeout && float64(n) < minBodyRate*(elapsed-bodyPauseTimeout).Seconds()
}

// growBody makes room for more of a body that has at most size bytes. Memory grows with what has
// arrived: a declared length that never arrives takes none.
func (r *Relay) growBody(c *call, size int64) bool {
	old := int64(cap(c.body))
	// One more byte lets the end be read.
	grown := min(max(2*old, firstBodyBytes), size+1)
	if grown <= old {
		grown = old + 1
	}
	if r.bufferedBodyBytes.Add(grown-old) > r.options.BodyMemory {
		r.bufferedBodyBytes.Add(old - grown)
		return false
	}
	if !c.holder.Charge(grown - old) {
		r.bufferedBodyBytes.Add(old - grown)
		return false
	}
	c.bodyBytes += grown - old
	body := make([]byte, len(c.body), grown)
	copy(body, c.body)
	c.body = body
	return true
}

// releaseBody releases the memory charged for the body.
func (r *Relay) releaseBody(c *call) {
	r.bufferedBodyBytes.Add(-c.bodyBytes)
	c.holder.Release(c.bodyBytes)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// priority returns the account's priority, or the route's if the account has none.
func (c *call) priority() int {
	return priorityOf(c.route, c.account)
}

func priorityOf(route *routetable.Route, account *routetable.Account) int {
	if account != nil && account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}

// accountName returns the client account's name; empty for anonymous requests.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}
