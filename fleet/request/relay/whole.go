package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"gentianhead/core/request/breaker"
)

// reply is an endpoint's answer that is held whole.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// passWhole hands on an answer that is no stream. It is held before any of it is
// handed on, so that an answer that breaks off can be replaced; above
// maxHeldBytes it is handed on as it comes.
func (r *Relay) passWhole(ctx context.Context, c *call, response *http.Response) result {
	held, err := io.ReadAll(io.LimitReader(response.Body, maxHeldBytes+1))
	if err != nil {
		return brokenOff(ctx, err)
	}
	if len(held) > maxHeldBytes {
		return r.passLarge(ctx, c, response, held)
	}
	answer := &reply{status: response.StatusCode, header: r.options.Dialect.Reply(response.Header), body: held}
	if response.StatusCode >= http.StatusInternalServerError {
		if c.route.MayRepeat() {
			c.fallback = answer
			return result{failure: fail(kindFailed, "the endpoint answered "+strconv.Itoa(answer.status)), mayHaveRun: true, trust: breaker.Failed}
		}
		r.writeReply(c, answer)
		return result{trust: breaker.Failed}
	}
	r.writeReply(c, answer)
	return result{trust: breaker.Succeeded}
}

func brokenOff(ctx context.Context, err error) result {
	if ctx.Err() != nil {
		return interrupted(ctx)
	}
	return result{failure: fail(kindFailed, "the answer broke off").because(err), mayHaveRun: true, trust: breaker.Failed}
}

// interrupted is the end of an answer that the caller or the time limit cut off.
func interrupted(ctx context.Context) result {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return result{failure: fail(kindDeadline, "the time limit passed before the answer was whole"), mayHaveRun: true, isFinal: true, trust: breaker.Neutral}
	}
	return result{failure: fail(kindCallerGone, "the caller closed the connection"), mayHaveRun: true, isFinal: true, trust: breaker.Neutral}
}

func (r *Relay) writeReply(c *call, answer *reply) {
	c.commit()
	header := c.w.Header()
	for name, values := range answer.header {
		header[name] = values
	}
	if c.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	c.w.WriteHeader(answer.status)
	if _, err := c.w.Write(answer.body); err != nil {
		undelivered.Add(1)
	}
}

// passLarge hands on an answer that is too large to be held.
func (r *Relay) passLarge(ctx context.Context, c *call, response *http.Response, held []byte) result {
	c.commit()
	header := c.w.Header()
	for name, values := range r.options.Dialect.Reply(response.Header) {
		header[name] = values
	}
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.w.WriteHeader(response.StatusCode)
	if _, err := c.w.Write(held); err != nil {
		return result{failure: fail(kindCallerGone, "the caller does not read").because(err), mayHaveRun: true, isFinal: true, trust: breaker.Neutral}
	}
	if _, err := io.Copy(c.w, response.Body); err != nil {
		broken := brokenOff(ctx, err)
		broken.isFinal = true
		return broken
	}
	return result{trust: breaker.Succeeded}
}
