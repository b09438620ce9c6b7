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
// maxBufferedBytes, or without memory for it, it forwards the body as it arrives.
func (r *Relay) forwardBuffered(ctx context.Context, c *call, response *http.Response) result {
	data, charged, isWhole, err := readWhole(c, response)
	if err != nil {
		c.holder.Release(charged)
		return readErrorResult(ctx, err)
	}
	c.responseBytes += charged
	if !isWhole {
		return r.forwardUnbuffered(ctx, c, response, data)
	}
	buffered := &bufferedResponse{status: response.StatusCode, header: r.options.Dialect.ResponseHeader(response.Header), body: data}
	if response.StatusCode >= http.StatusInternalServerError {
		if c.route.IsRetryable() {
			if c.fallback != nil {
				c.responseBytes -= int64(cap(c.fallback.body))
				c.holder.Release(int64(cap(c.fallback.body)))
			}
			c.fallback = buffered
			return result{failure: newFailure(kindFailed, "the endpoint answered "+strconv.Itoa(buffered.status)), mayHaveRun: true, breakerOutcome: breaker.Failed}
		}
		r.writeResponse(c, buffered)
		return result{breakerOutcome: breaker.Failed}
	}
	r.writeResponse(c, buffered)
	return result{breakerOutcome: breaker.Succeeded}
}

// readWhole reads the body of a response, into memory that it charges first. isWhole is false if
// the body is too large to buffer or there is no memory for it; data is then its beginning.
func readWhole(c *call, response *http.Response) (data []byte, charged int64, isWhole bool, err error) {
	size := int64(minBufferedBytes)
	if length := response.ContentLength; length >= 0 && length < maxBufferedBytes && c.r.Method != http.MethodHead {
		// One byte more lets the end be read without growing.
		size = min(length+1, largeBufferedBytes)
	}
	for {
		if !c.holder.Charge(size) {
			forwardedUnheld.Add(1)
			return data, charged, false, nil
		}
		grown := make([]byte, len(data), size)
		copy(grown, data)
		c.holder.Release(charged)
		data, charged = grown, size
		for len(data) < cap(data) {
			n, err := response.Body.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			if errors.Is(err, io.EOF) {
				return data, charged, true, nil
			}
			if err != nil {
				return nil, charged, false, err
			}
		}
		if len(data) > maxBufferedBytes {
			return data, charged, false, nil
		}
		size = min(2*size, maxBufferedBytes+1)
	}
}

// releaseResponses releases the memory charged for whole responses.
func (c *call) releaseResponses() {
	c.holder.Release(c.responseBytes)
	c.responseBytes = 0
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
