package telemetry

import (
	"expvar"
	"io"
	"sync"
)

const (
	// maxQueuedLines is the maximum number of queued log lines.
	maxQueuedLines = 4096
)

// linesDropped counts log lines dropped because the queue was full.
var linesDropped = expvar.NewInt("log_lines_dropped")

// Queue writes log lines from its own goroutine, so that a blocked output delays
// no request. If the queue is full, lines are dropped and counted.
type Queue struct {
	lines chan []byte
	done  chan struct{}

	mu       sync.RWMutex
	isClosed bool
}

// NewQueue returns a queue that writes to w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
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

// Close writes the queued lines and stops the goroutine. Later writes fail with
// io.ErrClosedPipe.
func (q *Queue) Close() {
	q.mu.Lock()
	q.isClosed = true
	q.mu.Unlock()
	close(q.lines)
	<-q.done
}
