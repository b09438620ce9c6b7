package telemetry

import (
	"expvar"
	"io"
	"sync"
)

const (
	maxQueuedLines = 4096
)

// linesDropped counts log lines dropped because the queue was full.
var linesDropped = expvar.NewInt("log_lines_dropped")

// AsyncWriter writes log lines from its own goroutine, so that a blocked output
// delays no request. If the queue is full, lines are dropped and counted.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{}

	mu       sync.RWMutex
	isClosed bool
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			_, _ = w.Write(line)
		}
	}()
	return a
}

// Write implements io.Writer. It never blocks.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.isClosed {
		return 0, io.ErrClosedPipe
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		linesDropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. Later writes fail with
// io.ErrClosedPipe.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	a.isClosed = true
	a.mu.Unlock()
	close(a.lines)
	<-a.done
}
