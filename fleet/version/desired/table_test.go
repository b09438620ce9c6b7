package desired

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"gentianhead/core/process/table"
)

// faults holds the probability of each fault per call, from 0 to 1.
type faults struct {
	// down calls have no effect and return an error.
	down float64
	// lost commits take effect, but their answer is lost.
	lost float64
	// delayed commits lose their answer and take effect later, if their checks pass then.
	delayed float64
	// stale reads and scans return an earlier version, the same for all rows of a call.
	stale float64
	// slow calls take up to maxSlowDelay.
	slow float64
	// paused calls are sent only after pauseLength, regardless of the caller's deadline.
	paused float64
	// killed calls end their caller, some before and some after taking effect.
	killed float64
}

// callerKilled is the panic that simulates the end of the calling process.
type callerKilled struct{}

// callStep is the step of a write that a call to the table belongs to.
type callStep string

const (
	stepReadRows callStep = "read rows"
	stepCommit   callStep = "commit"
	stepReadBack callStep = "read back"
	stepConfirm  callStep = "confirm refusal"
	stepOther    callStep = "other"
)

const pauseLength = time.Minute

const (
	maxSlowDelay = 3 * time.Second
	// maxEarlierVersions is the number of earlier versions that stale reads may return.
	maxEarlierVersions = 4
	// maxCopiedRows bounds the size of tables whose earlier versions are kept.
	maxCopiedRows = 2000
)

// fakeTable is an in-memory table service with faults. It is safe for concurrent use.
type fakeTable struct {
	mu     sync.Mutex
	random *rand.Rand
	faults faults
	// faultsByStep, when set, replaces faults with faults per step.
	faultsByStep map[callStep]faults
	// injected counts the faults that calls met.
	injected int
	// commitSent holds the attempt keys of all commits sent.
	commitSent      map[string]bool
	rows            map[string]table.Row
	earlierVersions []map[string]table.Row
	version         uint64
	delayed         []table.Transaction
	calls           int
}

func newFakeTable(seed uint64) *fakeTable {
	return &fakeTable{random: rand.New(rand.NewPCG(seed, 2)), rows: make(map[string]table.Row), commitSent: make(map[string]bool)}
}

// put writes a row as another writer would.
func (f *fakeTable) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = table.Row{Key: key, Value: []byte(value), Version: f.version}
}

// stepOfRead distinguishes a first read from a read back by the attempt's commits.
func (f *fakeTable) stepOfRead(keys []string) callStep {
	for _, key := range keys {
		if strings.HasPrefix(key, prefixAttempt) {
			if f.commitSent[key] {
				return stepReadBack
			}
			return stepReadRows
		}
	}
	return stepOther
}

func (f *fakeTable) stepOfCommit(tx table.Transaction) callStep {
	for _, put := range tx.Puts {
		if strings.HasPrefix(put.Key, prefixAttempt) && !put.Delete {
			f.commitSent[put.Key] = true
			return stepCommit
		}
	}
	if len(tx.Puts) == 0 {
		return stepConfirm
	}
	return stepOther
}

func (f *fakeTable) faultsAt(step callStep) faults {
	if f.faultsByStep != nil {
		return f.faultsByStep[step]
	}
	return f.faults
}

// beginCall counts a call, injects its faults and applies delayed commits.
func (f *fakeTable) beginCall(ctx context.Context, faults faults) error {
	f.mu.Lock()
	f.calls++
	delay := time.Duration(0)
	if f.happens(faults.slow) {
		delay = time.Duration(f.random.Int64N(int64(maxSlowDelay)))
	}
	isDown, isPaused := f.happens(faults.down), f.happens(faults.paused)
	if len(f.delayed) > 0 && f.random.IntN(2) == 0 {
		f.commit(f.delayed[0])
		f.delayed = f.delayed[1:]
	}
	isKilled := f.random.IntN(2) == 0 && f.happens(faults.killed)
	f.mu.Unlock()
	if isKilled {
		panic(callerKilled{})
	}
	if isPaused {
		<-time.After(pauseLength)
	}
	if isDown {
		return table.ErrRefused
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return table.ErrIndeterminate
	}
}

func (f *fakeTable) happens(probability float64) bool {
	happens := f.random.Float64() < probability
	if happens {
		f.injected++
	}
	return happens
}

func (f *fakeTable) commit(tx table.Transaction) table.CommitResult {
	for _, check := range tx.Checks {
		if f.rows[check.Key].Version != check.Version {
			return table.CommitResult{Conflict: check.Key}
		}
	}
	if len(f.rows) <= maxCopiedRows {
		f.earlierVersions = append(f.earlierVersions, maps.Clone(f.rows))
	}
	f.earlierVersions = f.earlierVersions[max(0, len(f.earlierVersions)-maxEarlierVersions):]
	f.version++
	for _, put := range tx.Puts {
		if put.Delete {
			delete(f.rows, put.Key)
			continue
		}
		f.rows[put.Key] = table.Row{Key: put.Key, Value: put.Value, Version: f.version}
	}
	return table.CommitResult{Version: f.version}
}

func (f *fakeTable) visibleRows(faults faults) map[string]table.Row {
	if len(f.earlierVersions) > 0 && f.happens(faults.stale) {
		return f.earlierVersions[f.random.IntN(len(f.earlierVersions))]
	}
	return f.rows
}

func (f *fakeTable) Commit(ctx context.Context, tx table.Transaction) (table.CommitResult, error) {
	f.mu.Lock()
	faults := f.faultsAt(f.stepOfCommit(tx))
	f.mu.Unlock()
	if err := f.beginCall(ctx, faults); err != nil {
		return table.CommitResult{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.happens(faults.delayed) {
		f.delayed = append(f.delayed, tx)
		return table.CommitResult{}, table.ErrIndeterminate
	}
	result := f.commit(tx)
	if f.happens(faults.killed) {
		panic(callerKilled{})
	}
	if f.happens(faults.lost) {
		return table.CommitResult{}, table.ErrIndeterminate
	}
	return result, nil
}

// readVisible calls use with the rows that a read of this step sees.
func (f *fakeTable) readVisible(ctx context.Context, step func() callStep, use func(rows map[string]table.Row)) error {
	f.mu.Lock()
	faults := f.faultsAt(step())
	f.mu.Unlock()
	if err := f.beginCall(ctx, faults); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	use(f.visibleRows(faults))
	return nil
}

func (f *fakeTable) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	rows := make([]table.Row, len(keys))
	step := func() callStep { return f.stepOfRead(keys) }
	err := f.readVisible(ctx, step, func(visible map[string]table.Row) {
		for i, key := range keys {
			rows[i] = visible[key]
			rows[i].Key = key
		}
	})
	return rows, err
}

func (f *fakeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	step := func() callStep { return stepOther }
	err := f.readVisible(ctx, step, func(visible map[string]table.Row) {
		for _, key := range slices.Sorted(maps.Keys(visible)) {
			if strings.HasPrefix(key, prefix) && key > after {
				rows = append(rows, visible[key])
			}
		}
	})
	return rows[:min(limit, len(rows))], err
}

// withoutAttemptRows hides attempt rows, which turns retries into blind ones.
type withoutAttemptRows struct{ table.Table }

func (f withoutAttemptRows) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	rows, err := f.Table.Read(ctx, keys...)
	for i := range rows {
		if strings.HasPrefix(rows[i].Key, prefixAttempt) {
			rows[i] = table.Row{Key: rows[i].Key}
		}
	}
	return rows, err
}

type lostAsRefused struct{ table.Table }

func (f lostAsRefused) Commit(ctx context.Context, tx table.Transaction) (table.CommitResult, error) {
	result, err := f.Table.Commit(ctx, tx)
	if err != nil {
		return result, table.ErrRefused
	}
	return result, nil
}
