// Package memory limits the memory that a process holds for its callers.
package memory

import (
	"context"
	"sync/atomic"
)

// Budget counts bytes against a limit. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Charge adds n bytes if then at least reserve bytes of the limit are left, and reports whether
// it did. Call it before the memory is taken.
func (b *Budget) Charge(n, reserve int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.limit-reserve {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release subtracts n bytes that were charged.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes charged.
func (b *Budget) Used() int64 { return b.used.Load() }

// Holder is what memory is held for, such as a connection.
type Holder interface {
	// Charge charges n bytes, if necessary after others were made to release theirs, and reports
	// whether it did.
	Charge(n int64) bool
	// Release releases n bytes that were charged.
	Release(n int64)
	// MarkKnown records that the caller presented the secret of a client account. Known callers
	// are the last to be refused.
	MarkKnown()
	// SetBehind records whether a response is held for the caller since it reads more slowly than
	// the response arrives.
	SetBehind(isBehind bool)
}

type holderKey struct{}

// WithHolder returns a context with the holder.
func WithHolder(ctx context.Context, holder Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, holder)
}

// HolderOf returns the holder of a context, or one without a limit.
func HolderOf(ctx context.Context) Holder {
	if holder, ok := ctx.Value(holderKey{}).(Holder); ok {
		return holder
	}
	return unlimited{}
}

type unlimited struct{}

func (unlimited) Charge(int64) bool { return true }
func (unlimited) Release(int64)     {}
func (unlimited) MarkKnown()        {}
func (unlimited) SetBehind(bool)    {}
