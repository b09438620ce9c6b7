package presence

import (
	"cmp"
	"slices"
	"time"
)

// sameCrashWindow is the difference of two routers' times up to which they mean the same
// crash of a process. An endpoint that starts again under its id takes longer.
const sameCrashWindow = time.Second

// Bounds of what one beacon or digest states about crashes. The latest are kept.
const (
	maxCrashes  = 16
	maxSuspects = 64
	// maxAllSuspects bounds the suspects of all crashes together.
	maxAllSuspects = 192
	maxServedParts = 64
	maxVerdicts    = 64
	maxRuns        = 32
	maxServedWhole = 64
)

// PartKey identifies a prompt part or a whole request. It is longer than Key, since a
// collision would refuse sound requests.
type PartKey uint64

// The highest bits of a PartKey tell whole requests from prompt parts.
const (
	classShift    = 48
	classPlain    = 0xffff
	classPrompted = 0xfffe
)

// PromptPartKey returns the key of a prompt part with a hash.
func PromptPartKey(hash uint64) PartKey {
	if key := PartKey(hash); !key.IsWhole() {
		return key
	}
	return PartKey(hash &^ (1 << 63))
}

// WholeKey returns the key of a whole request with a hash.
func WholeKey(hash uint64, hasPrompt bool) PartKey {
	class := uint64(classPlain)
	if hasPrompt {
		class = classPrompted
	}
	return PartKey(class<<classShift | hash&(1<<classShift-1))
}

// IsWhole reports whether the key is that of a whole request, with or without a prompt.
func (k PartKey) IsWhole() bool { return k>>classShift >= classPrompted }

// IsPlain reports whether the key is that of a whole request without a prompt.
func (k PartKey) IsPlain() bool { return k>>classShift == classPlain }

// Suspect is a part of a request that an endpoint was answering when it crashed.
type Suspect struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Part PartKey
	// Position is the part's index in its prompt.
	Position uint8
}

// Crash is an endpoint's process that ended while it answered requests.
type Crash struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Process Key
	// Age is the time since the crash in milliseconds.
	Age      uint32
	Suspects []Suspect
}

// ServedPart counts the requests with a part that endpoints survived.
type ServedPart struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Part  PartKey
	Count uint32
}

// Verdict is the decision to refuse requests with a part, or to accept them again.
type Verdict struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Part PartKey
	// Revision orders the verdicts on a part.
	Revision uint32
	IsLifted bool
	// Crashes is the number of crashes that it is based on.
	Crashes uint32
	// Age is the time since the decision, MatchedAge that since some router last got a
	// request with the part, and Period the time after which one request may test the
	// verdict, all in milliseconds.
	Age, MatchedAge, Period uint32
}

// IsNewer reports whether a verdict replaces another on the same part. Of two verdicts of
// one revision, the one that accepts requests does.
func (v Verdict) IsNewer(other Verdict) bool {
	return v.Revision > other.Revision || v.Revision == other.Revision && v.IsLifted && !other.IsLifted
}

// PartEvent is something that happened to a request with a part.
type PartEvent struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Part PartKey
	// Age is the time since then in milliseconds.
	Age uint32
}

// CrashEvidence is what routers tell each other about crashes of endpoints.
type CrashEvidence struct {
	Crashes  []Crash      `msgpack:"C,omitempty"`
	Served   []ServedPart `msgpack:"A,omitempty"`
	Verdicts []Verdict    `msgpack:"Q,omitempty"`
	// Runs are when requests in progress were sent that had been in progress at a crash, and
	// ServedWhole when whole requests under suspicion were last served.
	Runs        []PartEvent `msgpack:"U,omitempty"`
	ServedWhole []PartEvent `msgpack:"V,omitempty"`
	// LastServed are when the parts in Served were last served. Releases before this field
	// leave it out.
	LastServed []PartEvent `msgpack:"B,omitempty"`
}

// IsEmpty reports whether there is nothing to tell.
func (e CrashEvidence) IsEmpty() bool {
	return len(e.Crashes)+len(e.Served)+len(e.Verdicts)+len(e.Runs)+len(e.ServedWhole)+len(e.LastServed) == 0
}

// Older returns the evidence with its ages increased.
func (e CrashEvidence) Older(by time.Duration) CrashEvidence {
	added := milliseconds(max(0, by))
	older := CrashEvidence{
		Crashes: slices.Clone(e.Crashes), Served: e.Served, Verdicts: slices.Clone(e.Verdicts),
		Runs: olderEvents(e.Runs, added), ServedWhole: olderEvents(e.ServedWhole, added), LastServed: olderEvents(e.LastServed, added),
	}
	for i := range older.Crashes {
		older.Crashes[i].Age += added
	}
	for i := range older.Verdicts {
		older.Verdicts[i].Age += added
		older.Verdicts[i].MatchedAge += added
	}
	return older
}

func olderEvents(events []PartEvent, added uint32) []PartEvent {
	older := slices.Clone(events)
	for i := range older {
		older[i].Age += added
	}
	return older
}

// latestEvents returns the latest event of each part, at most limit, the latest first.
func latestEvents(limit int, events []PartEvent) []PartEvent {
	latest := slices.Clone(events)
	slices.SortFunc(latest, func(a, b PartEvent) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part)) })
	seen := make(map[PartKey]bool, len(latest))
	latest = slices.DeleteFunc(latest, func(e PartEvent) bool {
		isRepeated := seen[e.Part]
		seen[e.Part] = true
		return isRepeated
	})
	return latest[:min(len(latest), limit)]
}

// limited returns the evidence within the bounds of a beacon.
func (e CrashEvidence) limited() CrashEvidence {
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process, b.Process)) })
	slices.SortFunc(e.Served, func(a, b ServedPart) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Part, b.Part)) })
	slices.SortFunc(e.Verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.MatchedAge, b.MatchedAge), cmp.Compare(a.Part, b.Part))
	})
	e.Runs, e.ServedWhole = latestEvents(maxRuns, e.Runs), latestEvents(maxServedWhole, e.ServedWhole)
	e.LastServed = latestEvents(maxServedParts, e.LastServed)
	suspects := 0
	for i, crash := range e.Crashes {
		if suspects += len(crash.Suspects); i == maxCrashes || suspects > maxAllSuspects {
			e.Crashes = e.Crashes[:i]
			break
		}
	}
	e.Served = e.Served[:min(len(e.Served), maxServedParts)]
	e.Verdicts = e.Verdicts[:min(len(e.Verdicts), maxVerdicts)]
	return e
}

// SumEvidence merges the evidence of several routers. A crash that several saw counts once.
func SumEvidence(all ...CrashEvidence) CrashEvidence {
	sum := CrashEvidence{Crashes: MergeCrashes(all...)}
	served := make(map[PartKey]uint32)
	verdicts := make(map[PartKey]Verdict)
	for _, e := range all {
		sum.Runs, sum.ServedWhole = append(sum.Runs, e.Runs...), append(sum.ServedWhole, e.ServedWhole...)
		sum.LastServed = append(sum.LastServed, e.LastServed...)
		for _, s := range e.Served {
			served[s.Part] += s.Count
		}
		for _, v := range e.Verdicts {
			known, isKnown := verdicts[v.Part]
			matched := v.MatchedAge
			if isKnown {
				matched = min(matched, known.MatchedAge)
				if !v.IsNewer(known) {
					v = known
				}
			}
			v.MatchedAge = matched
			verdicts[v.Part] = v
		}
	}
	for part, count := range served {
		sum.Served = append(sum.Served, ServedPart{Part: part, Count: count})
	}
	for _, v := range verdicts {
		sum.Verdicts = append(sum.Verdicts, v)
	}
	return sum.limited()
}

// MergeCrashes returns the crashes in the evidence of several routers, in no order.
func MergeCrashes(all ...CrashEvidence) []Crash {
	byProcess := make(map[Key][]Crash)
	for _, e := range all {
		for _, crash := range e.Crashes {
			byProcess[crash.Process] = addCrash(byProcess[crash.Process], crash)
		}
	}
	var merged []Crash
	for _, crashes := range byProcess {
		merged = append(merged, crashes...)
	}
	return merged
}

// IsSame reports whether two routers' reports are of one crash, at the same moment.
func (c Crash) IsSame(other Crash) bool {
	apart := max(c.Age, other.Age) - min(c.Age, other.Age)
	return c.Process == other.Process && apart <= milliseconds(sameCrashWindow)
}

// addCrash adds a report to the crashes of a process.
func addCrash(known []Crash, crash Crash) []Crash {
	for i := range known {
		if known[i].IsSame(crash) {
			known[i] = mergeCrash(known[i], crash)
			return known
		}
	}
	return append(known, mergeCrash(Crash{Process: crash.Process, Age: crash.Age}, crash))
}

// mergeCrash merges what two routers saw of one crash.
func mergeCrash(a, b Crash) Crash {
	merged := Crash{Process: b.Process, Age: max(a.Age, b.Age), Suspects: slices.Clone(a.Suspects)}
	for _, s := range b.Suspects {
		if len(merged.Suspects) < maxSuspects && !slices.ContainsFunc(merged.Suspects, func(known Suspect) bool { return known.Part == s.Part }) {
			merged.Suspects = append(merged.Suspects, s)
		}
	}
	return merged
}
