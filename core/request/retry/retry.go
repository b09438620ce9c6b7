// Package retry decides whether a request that certainly did not run is retried
// at another endpoint.
//
// Each retry takes a token from two budgets, the account's and the router's, which
// first attempts refill. When an availability zone fails, retries therefore add at
// most a fixed fraction to the load, whatever the number of failures. The package
// has no I/O or clock, and its types are not safe for concurrent use.
package retry

import "time"

const (
	// MaxAttempts is the maximum number of attempts, the first included.
	MaxAttempts = 3
	// Ratio is the number of tokens that a first attempt adds to a budget.
	Ratio = 0.1
	// AccountReserve is the maximum number of tokens of one account.
	AccountReserve = 5
	// RouterReserve is the maximum number of tokens that all accounts of a router
	// share, and the number of consecutive refusals after which Backoff doubles.
	RouterReserve = 50
	// MinRemaining is the minimum time left to the deadline for a retry.
	MinRemaining = 500 * time.Millisecond
	// BackoffBase is the minimum backoff before jitter.
	BackoffBase = time.Second
	// BackoffMax is the maximum backoff before jitter.
	BackoffMax = 30 * time.Second
	// accountIdleTimeout is the idle time after which an account is dropped.
	accountIdleTimeout = time.Minute
)

// Reason is the decision on a retry: allowed, or why not.
type Reason int

const (
	// Allowed means that the request may be sent to another endpoint.
	Allowed Reason = iota
	// MayHaveRun means that the request may have run, so it is never retried.
	MayHaveRun
	// AttemptsUsed means that the request was sent MaxAttempts times.
	AttemptsUsed
	// NoTime means that less than MinRemaining is left to the deadline.
	NoTime
	// NoBudget means that the account's or the router's budget is empty.
	NoBudget
)

// Failure describes a request that failed.
type Failure struct {
	Account string
	// Attempts is the number of attempts so far, at least one.
	Attempts int
	// IsNotRun says that the request certainly did not run and never will.
	IsNotRun bool
	// Remaining is the time left to the deadline.
	Remaining time.Duration
}

type account struct {
	tokens      float64
	lastAttempt time.Time
}

// Budget holds the retry tokens of a router and of its accounts.
type Budget struct {
	tokens   float64
	accounts map[string]*account
	refusals int
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: RouterReserve, accounts: make(map[string]*account)}
}

// RecordAttempt records a first attempt, which refills the budgets.
func (b *Budget) RecordAttempt(now time.Time, name string) {
	b.tokens = min(RouterReserve, b.tokens+Ratio)
	a := b.account(now, name)
	a.tokens = min(AccountReserve, a.tokens+Ratio)
}

func (b *Budget) account(now time.Time, name string) *account {
	a, ok := b.accounts[name]
	if !ok {
		a = &account{tokens: AccountReserve}
		b.accounts[name] = a
	}
	a.lastAttempt = now
	return a
}

// Retry decides whether a failed request is retried, and takes the tokens if so.
func (b *Budget) Retry(now time.Time, failure Failure) Reason {
	switch {
	case !failure.IsNotRun:
		return MayHaveRun
	case failure.Attempts >= MaxAttempts:
		return AttemptsUsed
	case failure.Remaining < MinRemaining:
		return NoTime
	}
	a := b.account(now, failure.Account)
	if b.tokens < 1 || a.tokens < 1 {
		b.refusals++
		return NoBudget
	}
	b.tokens--
	a.tokens--
	return Allowed
}

// RecordSuccess records a response from an endpoint, which resets the backoff.
func (b *Budget) RecordSuccess() {
	b.refusals = 0
}

// Backoff returns the delay after which a caller should retry. It doubles with
// every RouterReserve consecutive refusals; jitter derived from key keeps callers
// from retrying at the same time.
func (b *Budget) Backoff(key uint64) time.Duration {
	base := BackoffMax
	if shift := b.refusals / RouterReserve; shift < 5 {
		base = min(BackoffMax, BackoffBase<<shift)
	}
	spread := float64(key%1024) / 1024
	return base + time.Duration(spread*float64(base))
}

// Tick drops idle accounts.
func (b *Budget) Tick(now time.Time) {
	for name, a := range b.accounts {
		if now.Sub(a.lastAttempt) > accountIdleTimeout {
			delete(b.accounts, name)
		}
	}
}
