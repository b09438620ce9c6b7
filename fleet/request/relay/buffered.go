package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/breaker"
	"gentianhead/fleet/connection/sse"
)

// bufferedResponse is a fully buffered response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardBuffered forwards a response that is not a stream. It buffers the
// response, so that the request can be retried if the body is truncated; above
// maxBufferedBytes it forwards the body as it arrives.
func (r *Relay) forwardBuffered(ctx context.Context, c *call, response *http.Response) result {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil {
		return readErrorResult(ctx, err)
	}
	if len(data) > maxBufferedBytes {
		return r.forwardUnbuffered(ctx, c, response, data)
	}
	buffered := &bufferedResponse{status: response.StatusCode, header: r.options.Dialect.ResponseHeader(response.Header), body: data}
	if response.StatusCode >= http.StatusInternalServerError {
		if c.route.IsRetryable() {
			c.fallback = buffered
			return result{failure: newFailure(kindFailed, "the endpoint answered "+strconv.Itoa(buffered.status)), mayHaveRun: true, breakerOutcome: breaker.Failed}
		}
		r.writeResponse(c, buffered)
		return result{breakerOutcome: breaker.Failed}
	}
	r.writeResponse(c, buffered)
	return result{breakerOutcome: breaker.Succeeded}
}

func readErrorResult(ctx context.Context, err error) result {
	if ctx.Err() != nil {
		return canceledResult(ctx)
	}
	return result{failure: newFailure(kindFailed, "reading the response failed").withCause(err), mayHaveRun: true, isBroken: !errors.Is(err, sse.ErrTooLarge), breakerOutcome: breaker.Failed}
}

// canceledResult returns the result for a response canceled by the caller, the
// time limit or the end of the process.
func canceledResult(ctx context.Context) result {
	if isStopped(ctx) {
		return result{failure: stoppedFailure(), mayHaveRun: true, isFinal: true, breakerOutcome: breaker.Neutral}
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return result{failure: newFailure(kindDeadline, "the time limit passed before the response was complete"), mayHaveRun: true, isFinal: true, breakerOutcome: breaker.Neutral}
	}
	return result{failure: newFailure(kindCallerGone, "the caller closed the connection"), mayHaveRun: true, isFinal: true, breakerOutcome: breaker.Neutral}
}

func (r *Relay) writeResponse(c *call, buffered *bufferedResponse) {
	r.markCommitted(c)
	header := c.w.Header()
	for name, values := range buffered.header {
		header[name] = values
	}
	if c.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	c.w.WriteHeader(buffered.status)
	if _, err := c.w.Write(buffered.body); err != nil {
		undelivered.Add(1)
	}
}

// forwardUnbuffered forwards a response that is too large to buffer.
func (r *Relay) forwardUnbuffered(ctx context.Context, c *call, response *http.Response, data []byte) result {
	r.markCommitted(c)
	header := c.w.Header()
	for name, values := range r.options.Dialect.ResponseHeader(response.Header) {
		header[name] = values
	}
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.w.WriteHeader(response.StatusCode)
	writer := deadlineWriter{c.w}
	if _, err := writer.Write(data); err != nil {
		return result{failure: newFailure(kindCallerGone, "writing to the caller failed").withCause(err), mayHaveRun: true, isFinal: true, breakerOutcome: breaker.Neutral}
	}
	if _, err := io.Copy(writer, response.Body); err != nil {
		broken := readErrorResult(ctx, err)
		broken.isFinal = true
		return broken
	}
	return result{breakerOutcome: breaker.Succeeded}
}

// deadlineWriter sets a time limit for each write to a caller, which may have stopped
// reading.
type deadlineWriter struct{ http.ResponseWriter }

// Write implements io.Writer.
func (w deadlineWriter) Write(p []byte) (int, error) {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.ResponseWriter.Write(p)
}
