package gateway

import (
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
)

// This file answers what never reaches a handler, or what a handler breaks on.

// withProblems answers requests for which mux has no handler with a problem.
func withProblems(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler, pattern := mux.Handler(r)
		if pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		refused := &discardWriter{header: http.Header{}}
		handler.ServeHTTP(refused, r)
		id := requestID(r)
		w.Header().Set(engine.HeaderRequestID, id)
		if refused.status == http.StatusMethodNotAllowed {
			w.Header()["Allow"] = refused.header["Allow"]
			writeProblem(w, id, notRun(refused.status, outcome.CodeMethodNotAllowed, "this path does not take the method").Problem)
			return
		}
		writeProblem(w, id, notRun(http.StatusNotFound, outcome.CodeNotFound, "nothing is served at this path").Problem)
	})
}

// discardWriter keeps the head of an answer and drops its body.
type discardWriter struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// withReadDeadline bounds the arrival of the rest of a request, also where it
// is refused before its body is read. readBody takes the deadline away.
func withReadDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(BodyReadTimeout))
		next.ServeHTTP(w, r)
	})
}

// withRecovery keeps a panic in one request from touching the others. The
// caller gets a problem, or a cut connection where the answer had begun.
func (g *Gateway) withRecovery(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &startedWriter{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(http.ErrAbortHandler)
			}
			g.options.Log.Error("Request handler panicked.", "cause", cause, "stack", string(debug.Stack()))
			if writer.isStarted {
				panic(http.ErrAbortHandler)
			}
			writeProblem(w, requestID(r), unknown(http.StatusInternalServerError, outcome.CodeInternal, "the router failed on this request"))
		}()
		next.ServeHTTP(writer, r)
	})
}

// startedWriter knows whether the answer has begun.
type startedWriter struct {
	http.ResponseWriter
	isStarted bool
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	w.isStarted = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(p []byte) (int, error) {
	w.isStarted = true
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *startedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
