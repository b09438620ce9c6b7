package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/matrix"
)

var start = time.Unix(1e9, 0)

func failure() Failure {
	return Failure{Account: "a", Attempts: 1, IsNotRun: true, Remaining: time.Minute}
}

func TestRetryRequiresNotRunAttemptsAndTime(t *testing.T) {
	b := NewBudget()
	mayHaveRun := failure()
	mayHaveRun.IsNotRun = false
	assert.Equal(t, b.Retry(start, mayHaveRun), MayHaveRun)
	late := failure()
	late.Remaining = MinRemaining - 1
	assert.Equal(t, b.Retry(start, late), NoTime)
	used := failure()
	used.Attempts = MaxAttempts
	assert.Equal(t, b.Retry(start, used), AttemptsUsed)
	assert.Equal(t, b.Retry(start, failure()), Allowed)
}

func TestAccountBudgetsAreSeparate(t *testing.T) {
	b := NewBudget()
	for range AccountReserve {
		assert.Equal(t, b.Retry(start, failure()), Allowed)
	}
	assert.Equal(t, b.Retry(start, failure()), NoBudget)
	other := failure()
	other.Account = "b"
	assert.Equal(t, b.Retry(start, other), Allowed)
}

// retryRatio lets a fraction of all attempts fail at 100 requests per second for the
// given seconds and returns the retries per first attempt.
func retryRatio(failureRate float64, isNotRun bool, accounts, seconds int) float64 {
	b := NewBudget()
	now := start
	retries, count := 0, seconds*100
	for i := range count {
		now = now.Add(10 * time.Millisecond)
		f := failure()
		f.Account = fmt.Sprint(i % accounts)
		f.IsNotRun = isNotRun
		b.RecordAttempt(now, f.Account)
		for f.Attempts = 1; float64(i*7919%1000) < failureRate*1000 && b.Retry(now, f) == Allowed; f.Attempts++ {
			retries++
		}
	}
	return float64(retries) / float64(count)
}

// Guards against retries that overload the remaining endpoints after a failure.
func TestFaultsRetry(t *testing.T) {
	m := matrix.New(t)
	for _, c := range []struct {
		fault       string
		failureRate float64
		isNotRun    bool
		maxRatio    float64
	}{
		{"one endpoint of twelve refuses", 1.0 / 12, true, 1.0/12 + Ratio},
		{"an availability zone of three goes", 1.0 / 3, true, Ratio + 0.01},
		{"every endpoint refuses", 1, true, Ratio + 0.01},
		{"answers stay out", 1, false, 0},
	} {
		verdict, note := matrix.Held, ""
		if got := retryRatio(c.failureRate, c.isNotRun, 10, 120); got > c.maxRatio {
			verdict, note = matrix.Broken, fmt.Sprintf("%.3f retries per request, %.3f allowed", got, c.maxRatio)
		}
		m.Record(matrix.Cell{Protocol: "retry", Step: "send", Fault: c.fault}, verdict, 1, note)
	}
	m.Record(matrix.Cell{Protocol: "retry", Step: "send", Fault: "router killed between attempts"}, matrix.NotCovered, 0, "")
}

func TestBackoffGrowsUntilSuccess(t *testing.T) {
	b := NewBudget()
	first := b.Backoff(0)
	for range 20 * RouterReserve {
		b.Retry(start, failure())
	}
	assert.Equal(t, first, BackoffBase)
	assert.Equal(t, b.Backoff(0), BackoffMax)
	b.RecordSuccess()
	assert.Equal(t, b.Backoff(0), BackoffBase)
}
