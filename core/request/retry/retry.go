// Package retry decides whether a request that certainly did not run is sent
// again, to another endpoint.
//
// A retry is paid for from two budgets, the account's and the router's, that
// first attempts fill. When an availability zone goes, retries therefore add a
// fixed part to the load, whatever the number of failures. Nothing here has I/O
// or a clock, and a Budget is not safe for concurrent use.
package retry

import "time"

const (
	// MaxAttempts is how often a request is sent at most, the first included.
	MaxAttempts = 3
	// Ratio is how many retries one first attempt pays for.
	Ratio = 0.1
	// AccountReserve and RouterReserve are how many retries may be saved up.
	AccountReserve = 5
	RouterReserve  = 50
	// MinTime is the least time before the deadline with which a retry is worth it.
	MinTime = 500 * time.Millisecond
	// BackoffBase and BackoffMax bound the hint when to come back.
	BackoffBase = time.Second
	BackoffMax  = 30 * time.Second
	// accountMemory is how long an account without requests is remembered.
	accountMemory = time.Minute
)

// Reason says why a request is not sent again.
type Reason int

const (
	// Allowed requests may be sent to another endpoint.
	Allowed Reason = iota
	// MayHaveRun requests are never sent again.
	MayHaveRun
	// AttemptsUsed requests were sent MaxAttempts times.
	AttemptsUsed
	// NoTime is left before the deadline.
	NoTime
	// NoBudget is left for the account or on the router.
	NoBudget
)

// Failure describes a request that failed.
type Failure struct {
	Account string
	// Attempts is how often it was sent, at least one.
	Attempts int
	// IsNotRun says that it certainly did not run and cannot any more.
	IsNotRun bool
	// Remaining is the time before the deadline.
	Remaining time.Duration
}

type account struct {
	saved float64
	last  time.Time
}

// Budget is what a router may spend on retries.
type Budget struct {
	saved    float64
	accounts map[string]*account
	failing  int
}

// NewBudget returns a budget with its reserve filled.
func NewBudget() *Budget {
	return &Budget{saved: RouterReserve, accounts: make(map[string]*account)}
}

// Attempt notes a first attempt, which pays into the budgets.
func (b *Budget) Attempt(now time.Time, name string) {
	b.saved = min(RouterReserve, b.saved+Ratio)
	a := b.account(now, name)
	a.saved = min(AccountReserve, a.saved+Ratio)
}

func (b *Budget) account(now time.Time, name string) *account {
	a, ok := b.accounts[name]
	if !ok {
		a = &account{saved: AccountReserve}
		b.accounts[name] = a
	}
	a.last = now
	return a
}

// Retry decides on a failure and pays for the retry that it allows.
func (b *Budget) Retry(now time.Time, failure Failure) Reason {
	switch {
	case !failure.IsNotRun:
		return MayHaveRun
	case failure.Attempts >= MaxAttempts:
		return AttemptsUsed
	case failure.Remaining < MinTime:
		return NoTime
	}
	a := b.account(now, failure.Account)
	if b.saved < 1 || a.saved < 1 {
		b.failing++
		return NoBudget
	}
	b.saved--
	a.saved--
	return Allowed
}

// Succeeded notes that an endpoint answered, which ends the backoff.
func (b *Budget) Succeeded() {
	b.failing = 0
}

// Backoff is when a caller should come back. It doubles with refusals in a row
// and spreads callers by key, so that they do not return together.
func (b *Budget) Backoff(key uint64) time.Duration {
	base := BackoffMax
	if shift := b.failing / RouterReserve; shift < 5 {
		base = min(BackoffMax, BackoffBase<<shift)
	}
	spread := float64(key%1024) / 1024
	return base + time.Duration(spread*float64(base))
}

// Tick forgets accounts that do not ask.
func (b *Budget) Tick(now time.Time) {
	for name, a := range b.accounts {
		if now.Sub(a.last) > accountMemory {
			delete(b.accounts, name)
		}
	}
}
