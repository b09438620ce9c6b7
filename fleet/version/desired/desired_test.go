package desired

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/core/process/table"
	"gentianhead/core/version/resource"
)

func model(name string, bound float64) resource.Object {
	return resource.Object{Kind: resource.KindModel, Name: name, Model: &resource.Model{LoadBound: bound}}
}

func account(name, digit string) resource.Object {
	token := ""
	for range 64 {
		token += digit
	}
	return resource.Object{Kind: resource.KindAccount, Name: name, Account: &resource.Account{TokenSHA256: token}}
}

func mustApply(t *testing.T, s *Store, attempt string, object resource.Object) resource.Object {
	t.Helper()
	accepted, err := s.Apply(t.Context(), Write{Object: object, Attempt: attempt})
	assert.NilError(t, err)
	return accepted
}

// Guards against a second change when an operator retries a write.
func TestApplyRepeatedAttempt(t *testing.T) {
	s := NewStore(newFakeTable(1))
	first := mustApply(t, s, "x", model("m", 2))
	mustApply(t, s, "y", model("m", 3))
	assert.Equal(t, mustApply(t, s, "x", model("m", 2)).Revision, first.Revision)
	head, err := s.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, head, resource.Revision(2))

	_, err = s.Apply(t.Context(), Write{Object: model("m", 4), Attempt: "x"})
	assert.ErrorIs(t, err, ErrAttemptReused)
}

// Guards against a token shared by two accounts, and against one that stays
// reserved after its account changed it or was deleted.
func TestTokenUniquePerAccount(t *testing.T) {
	s := NewStore(newFakeTable(1))
	mustApply(t, s, "1", account("a", "1"))
	_, err := s.Apply(t.Context(), Write{Object: account("b", "1"), Attempt: "2"})
	var invalid *resource.ValidationError
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
	mustApply(t, s, "3", account("a", "2"))
	mustApply(t, s, "4", account("b", "1"))
	mustApply(t, s, "5", resource.Object{Kind: resource.KindAccount, Name: "b", Deleted: true})
	mustApply(t, s, "6", account("c", "1"))
}

// Guards against rows of another writer among those of the configuration that keep routers
// from reading or following it.
func TestOddRowsKeepConfiguration(t *testing.T) {
	table := newFakeTable(1)
	s := NewStore(table)
	mustApply(t, s, "1", model("a", 2))
	deep := strings.Repeat("[", 15_000) + strings.Repeat("]", 15_000)
	for number, value := range []string{"", "null", "7", "[]", "{}", "\xff", deep, `{"revision":1e30}`, `{"object":{"revision":1e999}}`, `{"kind":"model","name":"z","revision":9}`} {
		for _, key := range []string{prefixLog, logKey(1), logKey(2), logKey(9), prefixObject, prefixObject + "model/", prefixObject + "endpoint/\u0085"} {
			key = fmt.Sprint(key, "-odd-", number)
			table.put(key, value)
		}
	}
	mustApply(t, s, "2", model("b", 2))
	mustApply(t, s, "3", model("c", 2))
	changes, err := s.Changes(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 3)
	changes, err = s.Changes(t.Context(), 3)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 0)
	revision, objects, err := s.State(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, revision, resource.Revision(3))
	assert.Equal(t, len(objects), 3)
	assert.NilError(t, s.Compact(t.Context()))
}

// Guards against a change that can't be read and is taken for the end of the changes.
func TestUnreadableChangeReported(t *testing.T) {
	table := newFakeTable(1)
	s := NewStore(table)
	mustApply(t, s, "1", model("a", 2))
	mustApply(t, s, "2", model("b", 2))
	table.put(logKey(1), "[")
	_, err := s.Changes(t.Context(), 0)
	assert.Assert(t, err != nil)
	table.put(objectKey(model("a", 2).Key()), "[")
	_, _, err = s.State(t.Context())
	assert.ErrorIs(t, err, ErrStaleRead)
}

// Guards against accepting the deletion of a missing object as a change.
func TestDeleteMissingObject(t *testing.T) {
	s := NewStore(newFakeTable(1))
	gone := resource.Object{Kind: resource.KindModel, Name: "m", Deleted: true}
	_, err := s.Apply(t.Context(), Write{Object: gone, Attempt: "1"})
	assert.ErrorIs(t, err, ErrNotFound)
}

// Guards against reporting a write as failed that took effect, or may do so,
// after its answer was lost.
func TestApplyOutcomeDuringStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable(1)
		s := NewStore(table)
		table.faults = faults{down: 1}
		_, err := s.Apply(t.Context(), Write{Object: model("m", 2), Attempt: "1"})
		assert.Assert(t, errors.Is(err, ErrNotWritten), "%v", err)

		table.faults = faults{lost: 1}
		accepted, err := s.Apply(t.Context(), Write{Object: model("m", 2), Attempt: "1"})
		assert.NilError(t, err, "the attempt row shows that the write took effect")
		assert.Equal(t, accepted.Revision, resource.Revision(1))

		table.faults = faults{delayed: 1}
		_, err = s.Apply(t.Context(), Write{Object: model("m", 3), Attempt: "2"})
		assert.Assert(t, err == nil || errors.Is(err, ErrOutcomeUnknown), "%v", err)
	})
}

// Guards against a conflict reported because of a stale read.
func TestRefusalNotBasedOnStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(50) {
			table := newFakeTable(seed)
			s := NewStore(table)
			first := mustApply(t, s, "1", model("m", 2))
			second := mustApply(t, s, "2", model("m", 3))
			assert.Assert(t, second.Revision > first.Revision)
			table.faults = faults{stale: 0.5}
			_, err := s.Apply(t.Context(), Write{Object: model("m", 4), Attempt: "3", IfRevision: &second.Revision})
			assert.NilError(t, err)
		}
	})
}

func writeChanges(t *testing.T, s *Store, changes int) {
	t.Helper()
	for i := range changes {
		mustApply(t, s, fmt.Sprintf("fill-%d", i), model(fmt.Sprintf("m%d", i%7), 2))
	}
}

// Guards against rows left behind by concurrent compactions, and against readers
// that miss removed changes without a CompactedError.
func TestCompactionBoundsRows(t *testing.T) {
	table := newFakeTable(1)
	s := NewStore(table)
	const changes = KeptChanges + 2*CompactionInterval + 3
	writeChanges(t, s, changes)
	before := len(table.rows)
	errs := make(chan error, 3)
	for range 3 {
		go func() { errs <- s.Compact(t.Context()) }()
	}
	for range 3 {
		assert.NilError(t, <-errs)
	}
	assert.NilError(t, s.Compact(t.Context()))
	// Head and oldest rows, 7 object rows, then log and attempt rows.
	assert.Equal(t, len(table.rows), 2+7+2*KeptChanges)
	t.Logf("%d rows before, %d after", before, len(table.rows))

	_, err := s.Changes(t.Context(), 10)
	var compacted *CompactedError
	assert.Assert(t, errors.As(err, &compacted), "%v", err)
	assert.Equal(t, compacted.Oldest, resource.Revision(changes-KeptChanges+1))
	kept, err := s.Changes(t.Context(), compacted.Oldest-1)
	assert.NilError(t, err)
	assert.Equal(t, kept[0].Revision, compacted.Oldest)
	none, err := s.Changes(t.Context(), changes)
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)

	revision, objects, err := s.State(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, revision, resource.Revision(changes))
	assert.Equal(t, len(objects), 7)
}

// Guards against a state that mixes revisions because of concurrent writes or
// stale reads during the scan.
func TestStateConsistentDuringWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeTable(1)
		s := NewStore(fake)
		writeChanges(t, s, 20)
		fake.faults = faults{stale: 0.3, slow: 0.3}
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 100 {
				_, _ = s.Apply(context.Background(), Write{Object: model(fmt.Sprintf("m%d", i%9), 3), Attempt: fmt.Sprint(i)})
			}
		}()
		read := 0
		for range 100 {
			revision, objects, err := s.State(t.Context())
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrStaleRead) || errors.Is(err, table.ErrIndeterminate), "%v", err)
				continue
			}
			read++
			assertMatchesLog(t, fake, revision, objects)
		}
		<-done
		t.Logf("%d of 100 reads were consistent, the others returned an error", read)
		assert.Assert(t, read > 0)
	})
}

// assertMatchesLog compares objects with the state that results from the log.
func assertMatchesLog(t *testing.T, table *fakeTable, revision resource.Revision, objects []resource.Object) {
	t.Helper()
	table.mu.Lock()
	defer table.mu.Unlock()
	var log []resource.Object
	for r := resource.Revision(1); r <= revision; r++ {
		logged, err := decode[logRow](table.rows[logKey(r)])
		assert.NilError(t, err)
		log = append(log, logged.Object)
	}
	want, _ := resource.NewSnapshot(0, nil).Apply(log)
	assert.DeepEqual(t, resource.NewSnapshot(revision, objects).List(""), want.List(""))
}
