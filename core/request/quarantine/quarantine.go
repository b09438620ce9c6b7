// Package quarantine decides which requests are refused because they crash the endpoints that
// answer them: those with some part of a prompt, or repeats of one request.
//
// Load patterns: requests that share one prompt part, and nothing else, arrive at any router;
// or one request is repeated there, several times at a moment or minutes apart. Each ends the
// endpoint that begins to answer it, along with the sound requests that are in progress there;
// the next one goes to another endpoint. Endpoints that crash for other reasons have sound
// requests in progress as well.
//
// A crash is a broken connection of a request whose answer had hardly begun, or one without an
// answer in time, at an endpoint that is found gone shortly after: it refuses a connection, or
// its entry in the store expires. A broken link shows neither. The parts of such requests, and
// each whole request, are its suspects. Routers tell each other the crashes they saw and which
// suspects endpoints survived.
//
// A prompt part is put in quarantine if it is a suspect in several crashes that nothing else
// explains and requests with it are not served, or not any more. Of several parts, the one that explains most
// crashes is chosen, and its crashes no longer count against others.
//
// A whole request is put in quarantine by a few crashes since it was last served, however far
// apart. Before that, from a first crash on, all routers together run one at a time: a router
// announces its run, waits RunDelay, and sends the request if it has heard of no other run.
// Two that begin at the same moment both give up.
//
// While a quarantine lasts, the requests are refused. After its period, one router at a time,
// and more with time, may let one through. If that is served, the quarantine is lifted
// everywhere; otherwise it lasts several times as long. It is forgotten once no such request
// has arrived for matchTTL or wholeMatchTTL.
//
// Invariants: a verdict's revision only grows; what was served since the last verdict on it is
// not in quarantine; the state is bounded, and each entry expires or is replaced.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use. Times are read
// from a clock that keeps running during suspend.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/recent"
)

const (
	// SurvivalTime is how long after the first event of its answer a request is no longer a
	// suspect if its endpoint crashes.
	SurvivalTime = time.Second
	// evidenceTTL is how long a crash and a served request count.
	evidenceTTL = time.Minute
	// minCrashes is how many crashes put a part in quarantine, for each request with it that
	// was served plus one.
	minCrashes = 3
	// minUnservedCrashes is how many crashes since it was last served put a part in quarantine:
	// one that was served before may begin to crash endpoints.
	minUnservedCrashes = 4
	// commonCauseWindow is the time within which several crashes count as one: a lost rack
	// ends all its endpoints at once.
	commonCauseWindow = 100 * time.Millisecond
	// sameCrashWindow is the time within which broken connections to a process belong to one
	// crash.
	sameCrashWindow = time.Second
	// settleTime is the time for other routers to report served requests of a new suspect:
	// two rounds of beacons and their way through groups.
	settleTime = time.Second
	// judgeInterval is the least time between two evaluations of the evidence, other than
	// at a crash that this router saw.
	judgeInterval = 400 * time.Millisecond
	// confirmTimeout is the time within which the endpoint of a broken connection must be
	// found gone. Its entry in the store expires after less.
	confirmTimeout = 5 * time.Second
	// firstPeriod, or wholeFirstPeriod of a whole request, and maxPeriod bound the time until a
	// quarantine is tested, periodFactor is its growth with each test. Each may cost an endpoint.
	firstPeriod      = 30 * time.Second
	wholeFirstPeriod = 6 * time.Second
	maxPeriod        = 4 * time.Hour
	periodFactor     = 10
	// matchTTL is how long after its period a quarantine lasts without requests, wholeMatchTTL
	// that of a whole request, which callers repeat minutes apart.
	matchTTL      = time.Minute
	wholeMatchTTL = suspectTTL
	// liftedTTL is how long a lifted quarantine is remembered, so that late reports don't
	// revive it.
	liftedTTL = 2 * evidenceTTL
	// testSlot is the time for which one router may test a quarantine: longer than the news
	// of a test takes to reach the router of the next slot.
	testSlot = 3 * time.Second
	// relayDelay is added to the age of a match for each hop, so that routers don't keep a
	// quarantine alive by reports of each other.
	relayDelay = 100 * time.Millisecond
)

// Bounds of the state.
const (
	maxParts     = 8192
	maxPending   = 256
	maxOwn       = 64
	maxVerdicts  = 256
	maxPartsEach = 32
	maxSuspects  = 64
	// maxRevision is far above the verdicts on one part. A higher one is a mistake that
	// no verdict could replace.
	maxRevision = 1 << 20
)

// Part is a part of a request that may be the cause of a crash, or the whole request.
type Part struct {
	Key presence.PartKey
	// ID is the part's id for logs.
	ID string
	// Position is the index in the prompt; that of a whole request is after all parts.
	Position int
}

// PartsOf returns the parts of a prompt that other requests may share: all but the last.
func PartsOf(prompt *exchange.Prompt) []Part {
	if prompt == nil || len(prompt.Parts) < 2 {
		return nil
	}
	parts := make([]Part, 0, min(len(prompt.Parts)-1, maxPartsEach))
	for i, part := range prompt.Parts[:min(len(prompt.Parts)-1, maxPartsEach)] {
		parts = append(parts, Part{Key: presence.PromptPartKey(xxhash.Sum64String(part.ID)), ID: part.ID, Position: i})
	}
	return parts
}

// pendingBreak is a broken connection whose endpoint has not been found gone yet.
type pendingBreak struct {
	at       time.Duration
	endpoint endpoints.Entry
	process  presence.Key
	parts    []Part
	// isSilent is set if the endpoint gave no answer in time and the connection didn't break.
	isSilent bool
}

// firstPeriodOf returns the time until a new quarantine is tested.
func firstPeriodOf(part presence.PartKey) time.Duration {
	if part.IsWhole() {
		return wholeFirstPeriod
	}
	return firstPeriod
}

// crash is a crash that this router saw.
type crash struct {
	process presence.Key
	at      time.Duration
	parts   []Part
}

// verdict is a verdict with this router's times.
type verdict struct {
	presence.Verdict
	id        string
	decidedAt time.Duration
	matchedAt time.Duration
}

func (v *verdict) period() time.Duration { return time.Duration(v.Period) * time.Millisecond }
func (v *verdict) until() time.Duration  { return v.decidedAt + v.period() }

func (v *verdict) isExpired(now time.Duration) bool {
	if v.IsLifted {
		return now-v.decidedAt > liftedTTL
	}
	ttl := matchTTL
	if v.Part.IsWhole() {
		ttl = wholeMatchTTL
	}
	return now > v.until() && now-v.matchedAt > ttl
}

type source struct {
	at       time.Duration
	evidence presence.CrashEvidence
}

// Core holds one router's evidence and verdicts.
type Core struct {
	self    string
	routers []string
	pending []pendingBreak
	// own are the crashes that this router saw, in the order of their confirmation.
	own     []*crash
	served  counts
	sources map[string]source
	// suspectSince is when each suspect of the crashes in the evidence became known here.
	suspectSince map[presence.PartKey]time.Duration
	verdicts     map[presence.PartKey]*verdict
	judgedAt     time.Duration
	changes      []Change
	// whole are the whole requests that were in progress at crashes, runs those that this
	// router runs and when it sent them, and usual when it last got requests served, of plain
	// services or under suspicion.
	whole    map[presence.PartKey]*whole
	runs     map[presence.PartKey]time.Duration
	usual    *recent.Map[presence.PartKey, time.Duration]
	isUrgent bool
}

// New returns a core without evidence.
func New() *Core {
	return &Core{
		served:       newCounts(),
		sources:      make(map[string]source),
		suspectSince: make(map[presence.PartKey]time.Duration),
		verdicts:     make(map[presence.PartKey]*verdict),
		whole:        make(map[presence.PartKey]*whole),
		runs:         make(map[presence.PartKey]time.Duration),
		usual:        recent.NewMap[presence.PartKey, time.Duration](maxUsual),
	}
}

// Change is a new verdict.
type Change struct {
	Part presence.PartKey
	// ID is the part's id, or empty if this router has not seen it.
	ID            string
	IsQuarantined bool
	// Crashes and Served are the counts that decided, and Period is the time until a test.
	Crashes, Served int
	Period          time.Duration
	Reason          string
}

// Reasons of changes.
const (
	ReasonCrashes  = "crashes"
	ReasonReported = "reported by another router"
	ReasonServed   = "a request was served"
	ReasonTest     = "one request may test it"
	ReasonExpired  = "no request has arrived"
)

// SetRouters sets this router's name and those of the live routers, itself included.
func (c *Core) SetRouters(self string, live []string) {
	c.self, c.routers = self, slices.Clone(live)
}

// ProcessOf identifies a process of an endpoint.
func ProcessOf(e endpoints.Entry) presence.Key {
	return presence.KeyOf(e.Process())
}

// Broken records that the connection of a request broke when its answer had not begun, or
// less than SurvivalTime before. It is called for endpoints in service only. If it returns
// true, the owner should find out whether the endpoint accepts connections, and call Probed.
func (c *Core) Broken(now time.Duration, endpoint endpoints.Entry, parts []Part) (shouldProbe bool) {
	if len(parts) == 0 {
		return false
	}
	process := ProcessOf(endpoint)
	if seen := c.ownCrash(process, now); seen != nil {
		seen.add(parts)
		c.accuseOwn(now, process, seen.at, parts)
		return false
	}
	shouldProbe = !slices.ContainsFunc(c.pending, func(p pendingBreak) bool { return p.process == process && !p.isSilent })
	c.addPending(pendingBreak{at: now, endpoint: endpoint, process: process, parts: parts})
	return shouldProbe
}

// Silent records that an endpoint gave a request no answer in time. That is a crash if its
// entry expires shortly after.
func (c *Core) Silent(now time.Duration, endpoint endpoints.Entry, parts []Part) {
	if len(parts) > 0 {
		c.addPending(pendingBreak{at: now, endpoint: endpoint, process: ProcessOf(endpoint), parts: parts, isSilent: true})
	}
}

// addPending records a possible crash. Above maxPending, the oldest is forgotten.
func (c *Core) addPending(p pendingBreak) {
	if len(c.pending) >= maxPending {
		c.pending = c.pending[1:]
	}
	c.pending = append(c.pending, p)
}

// Probed records whether an endpoint with a broken connection refused or accepted a new
// one. The owner doesn't call it if neither is known.
func (c *Core) Probed(now time.Duration, endpoint endpoints.Entry, isRefused bool) {
	process := ProcessOf(endpoint)
	c.pending = slices.DeleteFunc(c.pending, func(p pendingBreak) bool {
		if p.process == process && isRefused {
			c.recordCrash(now, p)
		}
		return p.process == process
	})
	c.judge(now)
}

// Served records that an endpoint survived a request with these parts.
func (c *Core) Served(now time.Duration, parts []Part) {
	for _, part := range parts {
		if part.Key.IsWhole() {
			// Most whole requests with a prompt never return.
			if _, isSuspect := c.whole[part.Key]; isSuspect || part.Key.IsPlain() {
				c.usual.Put(part.Key, now)
			}
			c.servedWhole(part.Key, now)
		} else {
			c.served.add(now, part.Key)
		}
		if v, known := c.verdicts[part.Key]; known && !v.IsLifted {
			c.decide(now, part.Key, part.ID, true, 0, ReasonServed)
		}
	}
}

// Step confirms broken connections as crashes of endpoints that are no longer listed,
// forgets what has expired, and updates the verdicts. The owner calls it several times a
// second.
func (c *Core) Step(now time.Duration, isListed func(endpoints.Entry) bool) {
	c.pending = slices.DeleteFunc(c.pending, func(p pendingBreak) bool {
		if isListed(p.endpoint) {
			return now-p.at > confirmTimeout
		}
		c.recordCrash(now, p)
		return true
	})
	c.own = slices.DeleteFunc(c.own, func(seen *crash) bool { return now-seen.at > evidenceTTL })
	for name, s := range c.sources {
		if now-s.at > evidenceTTL {
			delete(c.sources, name)
		}
	}
	for part, v := range c.verdicts {
		if v.isExpired(now) {
			if !v.IsLifted {
				c.changes = append(c.changes, Change{Part: part, ID: v.id, Reason: ReasonExpired})
			}
			delete(c.verdicts, part)
		}
	}
	if now-c.judgedAt >= judgeInterval {
		c.expireWhole(now)
		c.judge(now)
	}
}

func (c *Core) recordCrash(now time.Duration, p pendingBreak) {
	seen := c.ownCrash(p.process, p.at)
	if seen == nil {
		if len(c.own) >= maxOwn {
			c.own = c.own[1:]
		}
		seen = &crash{process: p.process, at: p.at}
		c.own = append(c.own, seen)
	}
	seen.at = min(seen.at, p.at)
	seen.add(p.parts)
	c.accuseOwn(now, p.process, seen.at, p.parts)
}

// accuseOwn holds a crash that this router saw against the whole requests in progress.
func (c *Core) accuseOwn(now time.Duration, process presence.Key, at time.Duration, parts []Part) {
	if c.accuse(now, process, at, suspectsOf(parts)) {
		c.isUrgent = true
	}
	for _, part := range parts {
		if w := c.whole[part.Key]; w != nil {
			w.id = part.ID
		}
	}
}

func suspectsOf(parts []Part) []presence.Suspect {
	suspects := make([]presence.Suspect, 0, len(parts))
	for _, part := range parts {
		suspects = append(suspects, presence.Suspect{Part: part.Key, Position: uint8(part.Position)})
	}
	return suspects
}

// ownCrash returns the crash of a process at about a time, or nil. A process that started
// again under its id may crash again.
func (c *Core) ownCrash(process presence.Key, at time.Duration) *crash {
	for _, seen := range c.own {
		if seen.process == process && (at-seen.at).Abs() <= sameCrashWindow {
			return seen
		}
	}
	return nil
}

// add adds the parts of a request that was in progress.
func (s *crash) add(parts []Part) {
	for _, part := range parts {
		isKnown := slices.ContainsFunc(s.parts, func(p Part) bool { return p.Key == part.Key })
		if !isKnown && len(s.parts) < maxSuspects {
			s.parts = append(s.parts, part)
		}
	}
}

// Report replaces the evidence of another router or of a group of routers.
func (c *Core) Report(now time.Duration, name string, evidence presence.CrashEvidence) {
	if len(evidence.Crashes)+len(evidence.Served)+len(evidence.Runs) == 0 {
		delete(c.sources, name)
	} else {
		c.sources[name] = source{at: now, evidence: evidence}
	}
	c.Adopt(now, evidence.Verdicts)
	c.reportWhole(now, evidence)
}

// Adopt takes over verdicts that are newer than the known ones.
func (c *Core) Adopt(now time.Duration, verdicts []presence.Verdict) {
	for _, v := range verdicts {
		c.adopt(now, v)
	}
}

// Quarantined returns the verdicts that refuse requests.
func (c *Core) Quarantined(now time.Duration) []presence.Verdict {
	var list []presence.Verdict
	for _, v := range c.verdicts {
		if !v.IsLifted {
			list = append(list, v.stated(now))
		}
	}
	return list
}

// stated returns the verdict as it is reported, with its ages.
func (v *verdict) stated(now time.Duration) presence.Verdict {
	reported := v.Verdict
	reported.Age, reported.MatchedAge = milliseconds(now-v.decidedAt), milliseconds(now-v.matchedAt)
	return reported
}

// ForgetSource drops the evidence of one router or group, and Forget that of all. Verdicts
// stay.
func (c *Core) ForgetSource(name string) { delete(c.sources, name) }

// Forget drops the evidence of all other routers.
func (c *Core) Forget() { clear(c.sources) }

// adopt takes over a newer verdict.
func (c *Core) adopt(now time.Duration, reported presence.Verdict) {
	if reported.Revision > maxRevision {
		return
	}
	reported.Period = min(reported.Period, milliseconds(maxPeriod))
	received := &verdict{
		Verdict: reported, decidedAt: now - time.Duration(reported.Age)*time.Millisecond,
		matchedAt: now - time.Duration(reported.MatchedAge)*time.Millisecond - relayDelay,
	}
	known, isKnown := c.verdicts[reported.Part]
	if received.isExpired(now) || !isKnown && len(c.verdicts) >= maxVerdicts {
		return
	}
	if isKnown {
		received.id = known.id
		received.matchedAt = max(received.matchedAt, known.matchedAt)
		if !reported.IsNewer(known.Verdict) {
			known.matchedAt = received.matchedAt
			if reported.Revision == known.Revision {
				known.decidedAt = min(known.decidedAt, received.decidedAt)
			}
			return
		}
	}
	c.verdicts[reported.Part] = received
	wasQuarantined := isKnown && !known.IsLifted
	if !received.IsLifted && c.isRefuted(now, received) {
		c.decide(now, reported.Part, received.id, true, 0, ReasonServed)
		return
	}
	if received.IsLifted {
		c.servedWhole(reported.Part, received.decidedAt)
	} else if w := c.whole[reported.Part]; w != nil {
		received.id = cmp.Or(received.id, w.id)
	}
	if wasQuarantined == received.IsLifted {
		c.changes = append(c.changes, Change{
			Part: reported.Part, ID: received.id, IsQuarantined: !received.IsLifted, Crashes: int(reported.Crashes),
			Period: received.period(), Reason: ReasonReported,
		})
	}
}

// isRefuted reports whether this router knows more of requests served than the one that
// decided on a quarantine.
func (c *Core) isRefuted(now time.Duration, v *verdict) bool {
	if w := c.whole[v.Part]; w != nil {
		return w.servedAt > v.decidedAt
	}
	isUnserved := v.Crashes >= minUnservedCrashes && c.lastServedAt(now, v.Part) < v.decidedAt-settleTime
	return int(v.Crashes) < c.crashesNeeded(now, v.Part) && !isUnserved
}

// Evidence returns what this router reports to others.
func (c *Core) Evidence(now time.Duration) presence.CrashEvidence {
	var e presence.CrashEvidence
	for _, seen := range c.own {
		isExplained := c.isExplained(seen.parts)
		reported := presence.Crash{Process: seen.process, Age: milliseconds(now - seen.at)}
		for _, part := range seen.parts {
			if c.isReported(now, seen.at, part.Key, isExplained) {
				reported.Suspects = append(reported.Suspects, presence.Suspect{Part: part.Key, Position: uint8(part.Position)})
			}
		}
		if len(reported.Suspects) > 0 {
			e.Crashes = append(e.Crashes, reported)
		}
	}
	for part := range c.suspectSince {
		if served := c.served.tally(now, part); served.count > 0 {
			e.Served = append(e.Served, presence.ServedPart{Part: part, Count: uint32(served.count)})
			e.LastServed = append(e.LastServed, presence.PartEvent{Part: part, Age: milliseconds(now - served.lastAt)})
		}
	}
	for _, v := range c.verdicts {
		e.Verdicts = append(e.Verdicts, v.stated(now))
	}
	c.stateWhole(now, &e)
	if e.IsEmpty() {
		return e
	}
	return presence.SumEvidence(e)
}

// isReported reports whether others are told that a part was in progress at a crash.
func (c *Core) isReported(now, crashedAt time.Duration, part presence.PartKey, isExplained bool) bool {
	if part.IsWhole() {
		return now-crashedAt <= wholeReportTTL && (!isExplained || c.isQuarantined(part))
	}
	// Where this router has seen the part served since, it isn't the cause.
	return !isExplained && c.served.tally(now, part).lastAt < crashedAt
}

func (c *Core) isExplained(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return c.isQuarantined(p.Key) })
}

func (c *Core) isQuarantined(part presence.PartKey) bool {
	v, known := c.verdicts[part]
	return known && !v.IsLifted
}

// TakeChanges returns the changes of verdicts since the previous call.
func (c *Core) TakeChanges() []Change {
	taken := c.changes
	c.changes = nil
	return taken
}

// Size returns the number of parts in quarantine.
func (c *Core) Size() int {
	size := 0
	for _, v := range c.verdicts {
		if !v.IsLifted {
			size++
		}
	}
	return size
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d) / time.Millisecond) }
