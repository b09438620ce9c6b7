package answer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianhead/core/matrix"
)

const ownID, otherID = "own", "other"

// decider is implemented by the Core and by the naive relay.
type decider interface{ Step(Event) Decision }

// naiveRelay passes on everything received on the connection and treats the end of
// the body as the end of the answer.
type naiveRelay struct{}

func (naiveRelay) Step(event Event) Decision {
	switch event.(type) {
	case Chunk:
		return Decision{Action: ActionForward}
	case End:
		return Decision{Action: ActionFinish}
	}
	return Decision{Action: ActionRead}
}

// completeStream returns the events of an answer with the given number of tokens.
func completeStream(tokens int) []Event {
	events := []Event{Head{ID: ownID}}
	for i := range tokens {
		events = append(events, Chunk{ID: ownID, Number: i + 1})
	}
	return append(events,
		Chunk{ID: ownID, Number: tokens + 1, IsFinish: true},
		Chunk{Number: tokens + 2, IsDone: true},
		End{})
}

// fault modifies the events of an answer at one position.
type fault struct {
	name  string
	apply func(events []Event, at int) []Event
}

func replaceID(id string) func([]Event, int) []Event {
	return func(events []Event, at int) []Event {
		switch e := events[at].(type) {
		case Head:
			events[at] = Head{ID: id}
		case Chunk:
			e.ID = id
			events[at] = e
		}
		return events
	}
}

func insert(added ...Event) func([]Event, int) []Event {
	return func(events []Event, at int) []Event {
		return append(append(append([]Event{}, events[:at]...), added...), events[at:]...)
	}
}

var faults = []fault{
	{"none", func(events []Event, _ int) []Event { return events }},
	{"id of another request", replaceID(otherID)},
	{"no id", replaceID("")},
	{"event of another answer between", insert(Chunk{ID: otherID, Number: 1})},
	{"closing event of another answer", insert(Chunk{IsDone: true})},
	{"answer twice", func(events []Event, at int) []Event {
		return append(append(append([]Event{}, events[:at+1]...), events[1:len(events)-1]...), events[at+1:]...)
	}},
	{"event left out", func(events []Event, at int) []Event {
		return append(append([]Event{}, events[:at]...), events[at+1:]...)
	}},
	{"half event", insert(Chunk{IsMalformed: true})},
	{"connection cut", func(events []Event, at int) []Event {
		return append(append([]Event{}, events[:at]...), End{IsBroken: true})
	}},
	{"body ends early", func(events []Event, at int) []Event { return append(append([]Event{}, events[:at]...), End{}) }},
}

// engineModel simulates an engine that numbers its events, with faults.
type engineModel struct {
	stream    []Event
	canResume bool
	// next returns the fault of the next connection and its position.
	next func(length int) (fault, int)
}

func (m engineModel) connection(from int) []Event {
	events := append([]Event{m.stream[0]}, m.stream[1+from:]...)
	f, at := m.next(len(events))
	return f.apply(events, at)
}

// result is what the caller received in one run.
type result struct {
	passed     []Event
	isComplete bool
	last       Decision
	resumes    int
}

// run passes the engine's events to d until the answer ends.
func run(d decider, m engineModel) result {
	var r result
	events := m.connection(0)
	for {
		if len(events) == 0 {
			events = []Event{DeadlinePassed{}}
		}
		event := events[0]
		events = events[1:]
		r.last = d.Step(event)
		switch r.last.Action {
		case ActionForward:
			r.passed = append(r.passed, event)
		case ActionResume:
			r.resumes++
			events = []Event{ResumeFailed{IsFinal: true}}
			if m.canResume {
				events = m.connection(r.last.From)
			}
		case ActionFinish:
			r.isComplete = true
			return r
		case ActionFail, ActionCancel:
			return r
		}
		if event == (DeadlinePassed{}) {
			return r
		}
	}
}

// verify returns an error if the caller received wrong events, or an incomplete
// answer reported as complete.
func (r result) verify(m engineModel) error {
	sent := m.stream[1 : len(m.stream)-1]
	for i, event := range r.passed {
		if i >= len(sent) || event != sent[i] {
			return fmt.Errorf("event %d of the caller's answer is %+v", i+1, event)
		}
	}
	if r.isComplete && len(r.passed) != len(sent) {
		return fmt.Errorf("%d of %d events were reported as a complete answer", len(r.passed), len(sent))
	}
	return nil
}

// Guards against test faults without effect: each of them must corrupt the answer of
// a relay without checks.
func TestNaiveRelayFaults(t *testing.T) {
	detected := 0
	for _, f := range faults[1:] {
		m := engineModel{stream: completeStream(4), next: func(int) (fault, int) { return f, 3 }}
		if run(naiveRelay{}, m).verify(m) != nil {
			detected++
		}
	}
	assert.Equal(t, detected, len(faults)-1, "the naive relay should break under every fault")
}

// Guards against an answer that one fault at any step corrupts unnoticed, and
// against a resumable stream that is not resumed.
func TestFaultsAnswer(t *testing.T) {
	const tokens = 4
	steps := []struct {
		name string
		at   int
	}{{"head", 0}, {"first event", 1}, {"middle event", 3}, {"finish event", tokens + 1}, {"closing event", tokens + 2}, {"after the closing event", tokens + 3}}
	cells := matrix.New(t)
	for _, step := range steps {
		for _, f := range faults {
			for _, canResume := range []bool{true, false} {
				pending := f
				m := engineModel{stream: completeStream(tokens), canResume: canResume, next: func(int) (fault, int) {
					now := pending
					pending = faults[0]
					return now, step.at
				}}
				r := run(New(ownID), m)
				verdict, note := matrix.Held, "complete answer"
				if !r.isComplete {
					note = "failed with " + string(r.last.Reason)
				}
				if err := r.verify(m); err != nil {
					verdict, note = matrix.Broken, err.Error()
				}
				if canResume && !r.isComplete {
					verdict, note = matrix.Broken, "not resumed"
				}
				name := f.name
				if !canResume {
					name += ", no resume"
				}
				cells.Record(matrix.Cell{Protocol: "answer", Step: step.name, Fault: name}, verdict, 1, note)
			}
		}
	}
}

// Guards against corrupt answers when both the first and the resumed connection
// have a fault, at positions drawn from the seed.
func TestFaultsAnswerPairs(t *testing.T) {
	cells := matrix.New(t)
	runs := matrix.Runs(200)
	for _, first := range faults {
		for _, second := range faults {
			random := rand.New(rand.NewPCG(matrix.Seed(), 1))
			verdict, note := matrix.Held, ""
			complete := 0
			for range runs {
				queue := []fault{first, second}
				m := engineModel{stream: completeStream(1 + random.IntN(8)), canResume: true, next: func(length int) (fault, int) {
					now := faults[0]
					if len(queue) > 0 {
						now, queue = queue[0], queue[1:]
					}
					return now, random.IntN(length)
				}}
				r := run(New(ownID), m)
				if r.isComplete {
					complete++
				}
				if err := r.verify(m); err != nil {
					verdict, note = matrix.Broken, err.Error()
				}
			}
			if verdict == matrix.Held && complete < runs {
				verdict, note = matrix.Broken, fmt.Sprintf("%d of %d answers complete", complete, runs)
			}
			cells.Record(matrix.Cell{Protocol: "answer", Step: "two connections", Fault: first.name + " + " + second.name}, verdict, runs, note)
		}
	}
}

// Guards against event sequences that pass on anything but a prefix of the
// request's own answer, or end a partial one as complete.
func TestCoreRandomEvents(t *testing.T) {
	event := rapid.Custom(func(t *rapid.T) Event {
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0:
			return Head{ID: rapid.SampledFrom([]string{ownID, otherID, ""}).Draw(t, "id")}
		case 1:
			return End{IsBroken: rapid.Bool().Draw(t, "broken")}
		case 2:
			return ResumeFailed{IsFinal: rapid.Bool().Draw(t, "final")}
		case 3:
			return rapid.SampledFrom([]Event{CallerGone{}, DeadlinePassed{}}).Draw(t, "end")
		}
		return Chunk{
			ID:          rapid.SampledFrom([]string{ownID, ownID, ownID, otherID, ""}).Draw(t, "id"),
			Number:      rapid.IntRange(0, 6).Draw(t, "number"),
			IsFinish:    rapid.IntRange(0, 3).Draw(t, "finish") == 0,
			IsDone:      rapid.IntRange(0, 3).Draw(t, "done") == 0,
			IsMalformed: rapid.IntRange(0, 7).Draw(t, "malformed") == 0,
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		core := New(ownID)
		passed, unnumbered, finished, done := 0, 0, false, false
		for _, e := range rapid.SliceOf(event).Draw(t, "events") {
			wasOver := core.IsOver()
			decision := core.Step(e)
			if wasOver && decision.Action != ActionRead {
				t.Fatalf("decision %+v after the end", decision)
			}
			switch decision.Action {
			case ActionForward:
				chunk := e.(Chunk)
				if done || chunk.IsMalformed || (chunk.ID != ownID && !chunk.IsDone) {
					t.Fatalf("passed %+v", chunk)
				}
				if chunk.Number == 0 {
					unnumbered++
				} else if passed++; chunk.Number != passed || unnumbered > 0 {
					t.Fatalf("passed event number %d at position %d", chunk.Number, passed)
				}
				finished = finished || chunk.IsFinish
				done = chunk.IsDone
				if done && !finished {
					t.Fatal("passed the closing event without a finish reason")
				}
			case ActionResume:
				if decision.From != passed || unnumbered > 0 || !decision.CloseConnection {
					t.Fatalf("resume %+v after event %d", decision, passed)
				}
			case ActionFinish:
				if !done {
					t.Fatal("incomplete answer finished as complete")
				}
			case ActionFail, ActionCancel:
				if done || !decision.CloseConnection {
					t.Fatalf("decision %+v", decision)
				}
			}
		}
	})
}

// Guards against endless resumes when every connection breaks without progress.
func TestResumeLimit(t *testing.T) {
	cut := faults[8]
	m := engineModel{stream: completeStream(4), canResume: true, next: func(int) (fault, int) { return cut, 1 }}
	r := run(New(ownID), m)
	assert.Equal(t, r.last.Action, ActionFail)
	assert.Equal(t, r.last.Reason, ReasonTruncated)
	assert.Equal(t, r.resumes, MaxResumesWithoutProgress)
}
