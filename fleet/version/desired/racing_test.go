package desired

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/core/matrix"
	"gentianhead/core/process/table"
	"gentianhead/core/version/resource"
)

const (
	operators         = 4
	writesPerOperator = 6
	sharedResources   = 2
	resendWait        = 500 * time.Millisecond
	retryTimeout      = 10 * time.Minute
	faultDuration     = time.Minute
)

// writeInput and writeOutput are one operation for the linearizability checker.
type writeInput struct {
	name       string
	ifRevision *resource.Revision
	deleted    bool
}

type writeOutput struct {
	refusal  error
	revision resource.Revision
}

// resourceState is one resource in the sequential model.
type resourceState struct {
	exists   bool
	revision resource.Revision
}

func (s resourceState) current() resource.Revision {
	if s.exists {
		return s.revision
	}
	return 0
}

func stepModel(state, input, output any) (bool, any) {
	s, in, out := state.(resourceState), input.(writeInput), output.(writeOutput)
	isExpected := in.ifRevision == nil || *in.ifRevision == s.current()
	switch {
	case errors.Is(out.refusal, ErrConflict):
		return !isExpected, s
	case errors.Is(out.refusal, ErrNotFound):
		return isExpected && in.deleted && !s.exists, s
	}
	isLegal := isExpected && out.revision > s.revision && (!in.deleted || s.exists)
	return isLegal, resourceState{exists: !in.deleted, revision: out.revision}
}

func linearizabilityModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byName := make([][]porcupine.Operation, sharedResources)
			for _, op := range history {
				i := int(op.Input.(writeInput).name[1] - '0')
				byName[i] = append(byName[i], op)
			}
			return byName
		},
		Init: func() any { return resourceState{} },
		Step: stepModel,
	}
}

// race runs concurrent operators, each of which writes through its own router.
type race struct {
	mu         sync.Mutex
	table      *fakeTable
	wrap       func(table.Table) table.Table
	history    []porcupine.Operation
	accepted   map[string]resource.Revision
	notWritten []string
	violation  string
	started    time.Time
}

func (r *race) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violation = fmt.Sprintf(format, args...)
}

// operate runs one operator, which retries a write until the answer is definite
// or gives up on one that was not written.
func (r *race) operate(number int, random *rand.Rand) {
	seen := make(map[string]resource.Revision)
	for i := range writesPerOperator {
		name := fmt.Sprintf("m%d", random.IntN(sharedResources))
		write := Write{Object: model(name, 2), Attempt: fmt.Sprintf("%d-%d", number, i)}
		if random.IntN(4) == 0 {
			write.Object = resource.Object{Kind: resource.KindModel, Name: name, Deleted: true}
		}
		if random.IntN(2) == 0 {
			revision := seen[name]
			write.IfRevision = &revision
		}
		called := time.Since(r.started)
		object, err := r.applyUntilDefinite(write, random.IntN(2) == 0)
		if errors.Is(err, ErrNotWritten) {
			r.mu.Lock()
			r.notWritten = append(r.notWritten, write.Attempt)
			r.mu.Unlock()
			continue
		}
		if err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrNotFound) {
			r.reportViolation("attempt %s: %v", write.Attempt, err)
			return
		}
		seen[name] = object.Revision
		r.mu.Lock()
		if err == nil {
			r.accepted[write.Attempt] = object.Revision
		}
		r.history = append(r.history, porcupine.Operation{
			ClientId: number,
			Input:    writeInput{name, write.IfRevision, write.Object.Deleted},
			Output:   writeOutput{err, object.Revision},
			Call:     int64(called), Return: int64(time.Since(r.started)),
		})
		r.mu.Unlock()
	}
}

func (r *race) applyUntilDefinite(write Write, givesUp bool) (resource.Object, error) {
	mayHaveRun := false
	for {
		object, err, killed := r.applyOnce(write)
		mayHaveRun = mayHaveRun || killed || errors.Is(err, ErrOutcomeUnknown)
		isUndecided := killed || errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotWritten)
		if !isUndecided || (givesUp && !mayHaveRun) {
			return object, err
		}
		if time.Since(r.started) > retryTimeout {
			return object, err
		}
		<-time.After(resendWait)
	}
}

// applyOnce sends a write to a router that may be killed during the call.
func (r *race) applyOnce(write Write) (object resource.Object, err error, killed bool) {
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(callerKilled); !ok {
				panic(p)
			}
			killed = true
		}
	}()
	object, err = NewStore(r.wrap(r.table)).Apply(context.Background(), write)
	return object, err, false
}

// checkLog compares the answers to the operators with the content of the store.
func (r *race) checkLog() {
	head := mustDecodeRow[headRow](r.table, keyHead)
	var objects []resource.Object
	writesByAttempt := make(map[string]int)
	for revision := resource.Revision(1); revision <= head.Revision; revision++ {
		logged := mustDecodeRow[logRow](r.table, logKey(revision))
		if logged.Object.Revision != revision {
			r.reportViolation("log has a gap at %d", revision)
		}
		objects = append(objects, logged.Object)
		writesByAttempt[logged.Attempt]++
		if accepted, ok := r.accepted[logged.Attempt]; ok && accepted != revision {
			r.reportViolation("attempt %s was accepted at %d but is in the log at %d", logged.Attempt, accepted, revision)
		}
	}
	for attempt, count := range writesByAttempt {
		if count > 1 {
			r.reportViolation("attempt %s took effect %d times", attempt, count)
		}
	}
	for _, attempt := range r.notWritten {
		if writesByAttempt[attempt] > 0 {
			r.reportViolation("attempt %s was reported as not written but was written", attempt)
		}
	}
	for attempt := range r.accepted {
		if writesByAttempt[attempt] == 0 {
			r.reportViolation("attempt %s was accepted but is not in the store", attempt)
		}
	}
	state, _ := resource.NewSnapshot(0, nil).Apply(objects)
	if stateDigest(state.List("")) != head.Digest {
		r.reportViolation("the digest in the head row does not match the objects")
	}
}

func mustDecodeRow[T any](table *fakeTable, key string) T {
	value, err := decode[T](table.rows[key])
	if err != nil {
		panic(err)
	}
	return value
}

func unwrapped(table table.Table) table.Table { return table }

// runRace runs one schedule and returns the violation and the number of faults injected.
func runRace(t *testing.T, seed uint64, wrap func(table.Table) table.Table, set func(*fakeTable)) (string, int) {
	var violation string
	var injected int
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable(seed)
		set(table)
		r := &race{table: table, wrap: wrap, accepted: make(map[string]resource.Revision), started: time.Now()}
		var wg sync.WaitGroup
		for number := range operators {
			random := rand.New(rand.NewPCG(seed, uint64(number)+10))
			wg.Go(func() { r.operate(number, random) })
		}
		<-time.After(faultDuration)
		table.mu.Lock()
		table.faults, table.faultsByStep = faults{}, nil
		injected = table.injected
		table.mu.Unlock()
		wg.Wait()
		for _, tx := range table.delayed {
			table.commit(tx)
		}
		r.checkLog()
		if r.violation == "" && !porcupine.CheckOperations(linearizabilityModel(), r.history) {
			r.violation = "the history is not linearizable"
		}
		violation = r.violation
	})
	return violation, injected
}

func allFaults(table *fakeTable) {
	table.faults = faults{down: 0.05, lost: 0.1, delayed: 0.1, stale: 0.1, slow: 0.1, paused: 0.02, killed: 0.02}
}

// Guards against a test harness that detects no violation: writers that retry
// blindly or report a lost answer as a failure must be caught.
func TestNaiveWritersDetected(t *testing.T) {
	variants := []struct {
		name string
		wrap func(table.Table) table.Table
	}{
		{"blind retry without attempt rows", func(table table.Table) table.Table { return withoutAttemptRows{table} }},
		{"lost answer treated as a refusal", func(table table.Table) table.Table { return lostAsRefused{table} }},
	}
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			for seed := range uint64(50) {
				if violation, _ := runRace(t, seed, variant.wrap, allFaults); violation != "" {
					t.Logf("violation with seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("the harness does not detect the violation")
		})
	}
}

// Guards against lost, doubled or reordered writes when several operators write
// the same objects and calls to the store fail, stall or lose their answers.
func TestRacingOperatorsLinearizable(t *testing.T) {
	for run := range matrix.Runs(200) {
		seed := matrix.Seed()<<32 + uint64(run)
		violation, _ := runRace(t, seed, unwrapped, allFaults)
		assert.Equal(t, violation, "", "seed %d", seed)
	}
}
