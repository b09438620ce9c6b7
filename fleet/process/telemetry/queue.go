package telemetry

import (
	"expvar"
	"io"
	"sync"
)

const (
	// queueLines is how many log lines may wait for a reader.
	queueLines = 4096
)

// linesDropped counts log lines that found the queue full.
var linesDropped = expvar.NewInt("log_lines_dropped")

// Queue writes log lines from a goroutine of its own, so that an output that
// nobody reads delays no request. Lines that find the queue full are dropped and
// counted.
type Queue struct {
	lines chan []byte
	done  chan struct{}

	mu       sync.RWMutex
	isClosed bool
}

// NewQueue returns a queue that writes to w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			_, _ = w.Write(line)
		}
	}()
	return q
}

// Write implements io.Writer. It never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.isClosed {
		return 0, io.ErrClosedPipe
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		linesDropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends the queue.
func (q *Queue) Close() {
	q.mu.Lock()
	q.isClosed = true
	q.mu.Unlock()
	close(q.lines)
	<-q.done
}
