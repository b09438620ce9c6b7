package claims

import (
	"context"
	"expvar"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/table"
	"gentianhead/core/request/claim"
)

// Per-process counters of transactions and the rows that they wrote.
var (
	commitsMade = expvar.NewInt("claims.commits")
	rowsWritten = expvar.NewInt("claims.rowsWritten")
)

// TableSink writes each batch in one transaction. After a conflict it removes
// the conflicting write from the batch and retries the others.
func TableSink(rows table.Table) Sink {
	return func(writes []Write) []claim.Event {
		events := make([]claim.Event, len(writes))
		for pending := countPending(events); pending > 0; pending = countPending(events) {
			result, err := rows.Commit(context.Background(), transaction(writes, events))
			commitsMade.Add(1)
			switch {
			case err != nil:
				fillPending(events, writeErrorEvent(err))
			case result.Conflict == "":
				rowsWritten.Add(int64(pending))
				fillPending(events, claim.Committed{Version: result.Version})
			case !markConflicted(writes, events, result.Conflict):
				// The reported conflict is on a row outside this transaction.
				fillPending(events, claim.WriteLost{})
			}
		}
		return events
	}
}

func writeErrorEvent(err error) claim.Event {
	if errors.Is(err, table.ErrRefused) {
		return claim.WriteRefused{}
	}
	return claim.WriteLost{}
}

func countPending(events []claim.Event) int {
	count := 0
	for _, event := range events {
		if event == nil {
			count++
		}
	}
	return count
}

// transaction returns a transaction of the writes that have no event yet.
func transaction(writes []Write, events []claim.Event) table.Transaction {
	var tx table.Transaction
	for i, write := range writes {
		if events[i] != nil {
			continue
		}
		tx.Checks = append(tx.Checks, table.Check{Key: write.Key, Version: write.Version})
		tx.Puts = append(tx.Puts, table.Put{Key: write.Key, Value: write.Value})
	}
	return tx
}

func fillPending(events []claim.Event, event claim.Event) {
	for i := range events {
		if events[i] == nil {
			events[i] = event
		}
	}
}

// markConflicted marks the pending write of key as conflicted and reports
// whether there was one.
func markConflicted(writes []Write, events []claim.Event, key string) bool {
	for i, write := range writes {
		if write.Key == key && events[i] == nil {
			events[i] = claim.Conflicted{}
			return true
		}
	}
	return false
}
