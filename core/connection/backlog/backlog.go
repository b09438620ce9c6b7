// Package backlog decides which responses to end when callers read more slowly than endpoints
// send. It addresses callers that stop reading while their response goes on, alone, many at
// once, or many of one client account: without a bound, what is held for them takes the memory
// of the process. Only responses whose caller is behind are known here.
package backlog

import (
	"time"

	"gentianhead/core/connection/eviction"
)

const (
	// window is the time over which the bytes delivered are counted, up to twice that: a caller
	// that read much and then stopped counts as stopped.
	window = 2 * time.Second
	// MaxWait is how long a response at its own limit may stay unread at the endpoint until its
	// caller has made room. Endpoints cut off what stays unread for some seconds.
	MaxWait = time.Second
)

// Limits are in bytes.
type Limits struct {
	// Response limits what is held for one response, except that a single piece of any size may be.
	Response int64
	// Account limits what is held for the responses of one client account.
	Account int64
	// Process limits what is held for all responses.
	Process int64
}

// Reason is the limit for which a response was ended.
type Reason string

// Reasons.
const (
	ResponseLimit Reason = "response"
	AccountLimit  Reason = "account"
	ProcessLimit  Reason = "process"
)

// Response is a response whose caller is behind. Its fields belong to the Core.
type Response struct {
	account string
	held    int64
	// since is when the caller fell behind or, later, the start of the window before the current
	// one, which began at windowAt. before and current are the bytes delivered in these windows.
	since, windowAt time.Duration
	before, current int64
	// waitsSince is when the response reached its own limit; isWaiting is set from then on until
	// there is room.
	waitsSince time.Duration
	isWaiting  bool
	isEnded    bool
}

// Decision is what to do before bytes are held.
type Decision struct {
	// IsHeld is set if the bytes may be held. They are counted.
	IsHeld bool
	// Ended are the responses to end, maybe with the one that asked, for Reason. What they held
	// no longer counts.
	Ended  []*Response
	Reason Reason
}

// Core knows the responses whose callers are behind. It is not safe for concurrent use.
type Core struct {
	limits    Limits
	held      int64
	accounts  map[string]int64
	responses []*Response
}

// New returns a core without responses.
func New(limits Limits) *Core {
	return &Core{limits: limits, accounts: make(map[string]int64)}
}

// Held returns the bytes held for all responses.
func (c *Core) Held() int64 { return c.held }

// Begin adds a response whose caller has fallen behind.
func (c *Core) Begin(now time.Duration, account string) *Response {
	r := &Response{account: account, since: now, windowAt: now}
	c.responses = append(c.responses, r)
	return r
}

// Hold decides whether n further bytes may be held for r. If they aren't and r isn't ended, ask
// again when some were delivered, or within a fraction of MaxWait.
func (c *Core) Hold(now time.Duration, r *Response, n int64) Decision {
	switch {
	case r.isEnded:
		return Decision{}
	case r.held == 0 || r.held+n <= c.limits.Response:
		r.isWaiting = false
	case !r.isWaiting:
		r.isWaiting, r.waitsSince = true, now
		return Decision{}
	case now-r.waitsSince < MaxWait:
		return Decision{}
	default:
		c.end(r)
		return Decision{Ended: []*Response{r}, Reason: ResponseLimit}
	}
	var decision Decision
	if over := c.accounts[r.account] + n - c.limits.Account; over > 0 {
		decision.Ended, decision.Reason = c.endSlowest(now, over, func(other *Response) bool { return other.account == r.account }), AccountLimit
	}
	if over := c.held + n - c.limits.Process; over > 0 && !r.isEnded {
		decision.Ended = append(decision.Ended, c.endSlowest(now, over, func(*Response) bool { return true })...)
		decision.Reason = ProcessLimit
	}
	if !r.isEnded && (c.accounts[r.account]+n > c.limits.Account || c.held+n > c.limits.Process) {
		c.end(r)
		decision.Ended = append(decision.Ended, r)
	}
	if !r.isEnded {
		decision.IsHeld = true
		c.add(r, n)
	}
	return decision
}

// endSlowest ends responses for which n bytes are held, those first that hold most and moved least.
func (c *Core) endSlowest(now time.Duration, n int64, isInScope func(*Response) bool) []*Response {
	var scope []*Response
	var states []eviction.Connection
	for _, r := range c.responses {
		if isInScope(r) {
			r.turn(now)
			scope = append(scope, r)
			states = append(states, eviction.Connection{Phase: eviction.Unread, Held: r.held, For: now - r.since, Moved: r.before + r.current})
		}
	}
	var ended []*Response
	for _, i := range eviction.Choose(states, eviction.Need{Bytes: n}) {
		c.end(scope[i])
		ended = append(ended, scope[i])
	}
	return ended
}

// turn begins a new window if the current one has passed.
func (r *Response) turn(now time.Duration) {
	switch passed := now - r.windowAt; {
	case passed >= 2*window:
		r.since, r.windowAt, r.before, r.current = now-window, now, 0, 0
	case passed >= window:
		r.since, r.windowAt, r.before, r.current = r.windowAt, now, r.current, 0
	}
}

// Deliver records that the caller took n of the bytes held for r.
func (c *Core) Deliver(now time.Duration, r *Response, n int64) {
	if !r.isEnded {
		r.turn(now)
		r.current += n
		c.add(r, -n)
	}
}

// End removes a response that has ended, or whose caller has caught up.
func (c *Core) End(r *Response) {
	if !r.isEnded {
		c.end(r)
	}
}

func (c *Core) end(r *Response) {
	r.isEnded = true
	c.add(r, -r.held)
	for i, other := range c.responses {
		if other == r {
			last := len(c.responses) - 1
			c.responses[i], c.responses[last] = c.responses[last], nil
			c.responses = c.responses[:last]
			return
		}
	}
}

func (c *Core) add(r *Response, n int64) {
	r.held += n
	c.held += n
	if sum := c.accounts[r.account] + n; sum > 0 {
		c.accounts[r.account] = sum
	} else {
		delete(c.accounts, r.account)
	}
}
