package claims

import (
	"expvar"
	"sync"
	"time"

	"gentianhead/core/process/table"
	"gentianhead/core/request/claim"
)

// Limits of group commit.
const (
	// maxBatchRows limits the rows in one transaction: each needs a check and a put.
	maxBatchRows = table.MaxEntries / 2
	// maxBatchBytes bounds the values in one transaction. The platform accepts up
	// to 1 MB, and base64 makes the values a third larger.
	maxBatchBytes = 600 << 10
	// maxQueuedWrites is the queue capacity; further writes are refused at once.
	maxQueuedWrites = 2048
)

// writesRefused counts the writes refused because the queue was full.
var writesRefused = expvar.NewInt("claims.writesRefused")

// Write is a compare-and-set of one claim row.
type Write struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
	// Version is the expected version; 0 means that the row must not exist.
	Version uint64 `msgpack:"n"`
}

type pendingWrite struct {
	Write
	result chan claim.Event
}

// Sink writes rows with distinct keys and returns one event for each:
// Committed, Conflicted, WriteRefused or WriteLost.
type Sink func([]Write) []claim.Event

// Writer groups compare-and-sets into batches, at most one of which is in
// progress. It is safe for concurrent use.
type Writer struct {
	sink    Sink
	pacer   *pacer
	queue   chan pendingWrite
	stop    chan struct{}
	stopped sync.WaitGroup
	// closeMu guards isClosed: no write is queued after Close has set it.
	closeMu  sync.RWMutex
	isClosed bool
	// deferred holds writes for a later batch, because their row is already in
	// this one or the batch is full. Only the writer's goroutine uses it.
	deferred []pendingWrite
}

// NewWriter returns a writer that passes batches to sink at the rate of pacer.
// It must be closed with Close.
func NewWriter(sink Sink, pacer *pacer) *Writer {
	w := &Writer{sink: sink, pacer: pacer, queue: make(chan pendingWrite, maxQueuedWrites), stop: make(chan struct{})}
	w.stopped.Add(1)
	go w.loop()
	return w
}

// Close stops the writer after the batch in progress. Queued and later writes
// are refused.
func (w *Writer) Close() {
	w.closeMu.Lock()
	w.isClosed = true
	w.closeMu.Unlock()
	close(w.stop)
	w.stopped.Wait()
}

// Do writes one row and returns Committed, Conflicted, WriteRefused or WriteLost.
func (w *Writer) Do(write Write) claim.Event {
	return <-w.enqueue(write)
}

// DoAll is like Do for several rows and returns one event for each.
func (w *Writer) DoAll(writes []Write) []claim.Event {
	results := make([]<-chan claim.Event, len(writes))
	for i, write := range writes {
		results[i] = w.enqueue(write)
	}
	events := make([]claim.Event, len(writes))
	for i, result := range results {
		events[i] = <-result
	}
	return events
}

func (w *Writer) enqueue(write Write) <-chan claim.Event {
	pending := pendingWrite{Write: write, result: make(chan claim.Event, 1)}
	w.closeMu.RLock()
	defer w.closeMu.RUnlock()
	if w.isClosed {
		pending.refuse()
		return pending.result
	}
	select {
	case w.queue <- pending:
	default:
		writesRefused.Add(1)
		pending.refuse()
	}
	return pending.result
}

func (p pendingWrite) refuse() {
	p.result <- claim.WriteRefused{}
}

func (w *Writer) loop() {
	defer w.stopped.Done()
	defer w.refuseAll()
	for !w.isStopping() {
		batch, ok := w.collect()
		if !ok {
			return
		}
		if wait := w.pacer.delay(time.Now()); wait > 0 {
			time.Sleep(wait)
			batch = w.fill(batch)
		}
		w.commit(batch)
	}
}

func (w *Writer) isStopping() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

// refuseAll refuses the writes that are still queued when the writer stops.
func (w *Writer) refuseAll() {
	for _, pending := range w.deferred {
		pending.refuse()
	}
	for {
		select {
		case pending := <-w.queue:
			pending.refuse()
		default:
			return
		}
	}
}

// collect waits for a write and returns it in a batch with other queued writes,
// or false when the writer stops.
func (w *Writer) collect() ([]pendingWrite, bool) {
	if len(w.deferred) > 0 {
		batch := w.deferred
		w.deferred = nil
		return w.fill(w.fillFrom(nil, batch)), true
	}
	select {
	case first := <-w.queue:
		return w.fill([]pendingWrite{first}), true
	case <-w.stop:
		return nil, false
	}
}

// fill adds queued writes until the batch is full. Deferred writes are bounded
// too, so that writes of one row can't drain the queue without limit.
func (w *Writer) fill(batch []pendingWrite) []pendingWrite {
	for len(batch) < maxBatchRows && len(w.deferred) < maxBatchRows {
		select {
		case pending := <-w.queue:
			batch = w.fillFrom(batch, []pendingWrite{pending})
		default:
			return batch
		}
	}
	return batch
}

// fillFrom adds the writes that fit to batch and defers the rest. It adds at most
// one per row: two writes of a row in one transaction would both pass its checks.
func (w *Writer) fillFrom(batch, more []pendingWrite) []pendingWrite {
	for _, pending := range more {
		if containsKey(batch, pending.Key) || containsKey(w.deferred, pending.Key) || !fits(batch, pending) {
			w.deferred = append(w.deferred, pending)
			continue
		}
		batch = append(batch, pending)
	}
	return batch
}

func fits(batch []pendingWrite, more pendingWrite) bool {
	size := len(more.Value)
	for _, pending := range batch {
		size += len(pending.Value)
	}
	return len(batch) == 0 || len(batch) < maxBatchRows && size <= maxBatchBytes
}

func containsKey(batch []pendingWrite, key string) bool {
	for _, pending := range batch {
		if pending.Key == key {
			return true
		}
	}
	return false
}

// commit passes a batch to the sink and delivers the event of each write.
func (w *Writer) commit(batch []pendingWrite) {
	writes := make([]Write, len(batch))
	for i, pending := range batch {
		writes[i] = pending.Write
	}
	for i, event := range w.sink(writes) {
		batch[i].result <- event
	}
}
