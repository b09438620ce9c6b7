package backlog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reader is a caller in a replay: its endpoint sends rate bytes a second, of which it reads reads
// until stopsAt.
type reader struct {
	account     string
	rate, reads int64
	stopsAt     time.Duration

	response *Response
	held     int64
	endedFor Reason
	endedAt  time.Duration
}

// replay plays readers in virtual time, and checks that no limit is exceeded.
func replay(t *testing.T, limits Limits, readers []*reader, length time.Duration) {
	t.Helper()
	const step = 20 * time.Millisecond
	core := New(limits)
	random := rand.New(rand.NewPCG(3, 3))
	owners := make(map[*Response]*reader)
	for now := time.Duration(0); now < length; now += step {
		random.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
		for _, r := range readers {
			if r.endedFor != "" {
				continue
			}
			if r.response == nil {
				r.response = core.Begin(now, r.account)
				owners[r.response] = r
			}
			if now < r.stopsAt {
				taken := min(r.held, r.reads*int64(step)/int64(time.Second))
				core.Deliver(now, r.response, taken)
				r.held -= taken
			}
			sent := r.rate * int64(step) / int64(time.Second)
			decision := core.Hold(now, r.response, sent)
			for _, ended := range decision.Ended {
				owners[ended].endedFor, owners[ended].endedAt, owners[ended].held = decision.Reason, now, 0
			}
			if decision.IsHeld {
				r.held += sent
			}
		}
		accounts := make(map[string]int64)
		var sum int64
		for _, r := range readers {
			assert.Assert(t, r.held <= limits.Response)
			accounts[r.account] += r.held
			sum += r.held
		}
		assert.Equal(t, sum, core.Held())
		assert.Assert(t, sum <= limits.Process)
		for account, held := range accounts {
			assert.Assert(t, held <= limits.Account, account)
		}
	}
}

var testLimits = Limits{Response: 256 << 10, Account: 8 << 20, Process: 16 << 20}

// Guards against ending the responses of callers that read when many others have stopped.
func TestFleetOfStoppedReadersEndsNoOther(t *testing.T) {
	var readers []*reader
	for i := range 400 {
		r := &reader{account: fmt.Sprintf("a-%d", i%20), rate: 100 << 10, reads: 99 << 10, stopsAt: time.Hour}
		if i >= 100 {
			// Some read much before they stop.
			r.stopsAt = time.Duration(i%3) * time.Second
		}
		readers = append(readers, r)
	}
	replay(t, testLimits, readers, 10*time.Second)
	for _, r := range readers {
		assert.Equal(t, r.endedFor == "", r.stopsAt == time.Hour, "%+v", r)
	}
}

// Guards against one account whose callers stop reading, at the cost of the others' responses.
func TestAccountOfStoppedReadersEndsOnlyItsOwn(t *testing.T) {
	limits := Limits{Response: 256 << 10, Account: 2 << 20, Process: 16 << 20}
	var readers []*reader
	for i := range 100 {
		readers = append(readers, &reader{account: "heavy", rate: 50 << 10}, &reader{account: fmt.Sprint(i), rate: 20 << 10})
	}
	replay(t, limits, readers, 3*time.Second)
	for _, r := range readers {
		assert.Assert(t, r.account == "heavy" || r.endedFor == "", "%+v", r)
		assert.Assert(t, r.endedFor == "" || r.endedFor == AccountLimit, "%+v", r)
	}
}

// Guards against a stopped caller whose endpoint waits for longer than it bears, and against
// ending a caller that goes on to read while its response is at the limit.
func TestResponseAtItsLimit(t *testing.T) {
	stopped := &reader{account: "a", rate: 1 << 20}
	slow := &reader{account: "b", rate: 1 << 20, reads: 100 << 10, stopsAt: time.Hour}
	replay(t, testLimits, []*reader{stopped, slow}, 10*time.Second)
	assert.Equal(t, stopped.endedFor, ResponseLimit)
	assert.Assert(t, stopped.endedAt <= 250*time.Millisecond+MaxWait+40*time.Millisecond, "ended after %v", stopped.endedAt)
	assert.Equal(t, slow.endedFor, Reason(""))
}
