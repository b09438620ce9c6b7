package gateway

import (
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
)

// withProblems responds with a problem to requests that match no pattern of mux.
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
			writeProblem(w, id, notRun(refused.status, outcome.CodeMethodNotAllowed, "the method is not allowed on this path").Problem)
			return
		}
		writeProblem(w, id, notRun(http.StatusNotFound, outcome.CodeNotFound, "nothing is served at this path").Problem)
	})
}

// discardWriter keeps the status and header of an answer and discards its body.
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

// withReadDeadline sets a deadline for reading the body, also for requests that
// are refused without reading it. readBody clears the deadline.
func withReadDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(BodyReadTimeout))
		next.ServeHTTP(w, r)
	})
}

// withRecovery recovers from a panic of a handler, so that other requests are
// not affected. The caller receives a problem, or an aborted connection if the
// answer had started.
func (g *Gateway) withRecovery(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &startedWriter{ResponseWriter: w, isLeaving: g.drain.isLeaving}
		defer func() {
			cause := recover()
			if cause == nil {
				writer.start()
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(http.ErrAbortHandler)
			}
			g.options.Log.Error("Request handler panicked.", "cause", cause, "stack", string(debug.Stack()))
			if writer.isStarted {
				panic(http.ErrAbortHandler)
			}
			writeProblem(writer, requestID(r), unknown(http.StatusInternalServerError, outcome.CodeInternal, "the router failed to process the request"))
		}()
		next.ServeHTTP(writer, r)
	})
}

// startedWriter records whether the answer has started. An answer that starts while the
// router is leaving closes its connection, so that few are left when it stops.
type startedWriter struct {
	http.ResponseWriter
	isLeaving func() bool
	isStarted bool
}

// start is called before the head of the answer is written.
func (w *startedWriter) start() {
	if !w.isStarted && w.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	w.isStarted = true
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *startedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
