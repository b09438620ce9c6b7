package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/presence"
	"gentianhead/core/request/exchange"
)

const (
	// crashesOfPlain, crashesOfUsual and crashesOfPrompted are how many crashes, since a
	// request was last served, put it in quarantine. Plain services are often small, and few of
	// their requests are in progress at a crash; of an engine's, dozens are. A usual request
	// is a plain one that was served within usualTTL: repeats of it are in progress at many
	// crashes.
	crashesOfPlain    = 2
	crashesOfUsual    = 3
	crashesOfPrompted = 3
	usualTTL          = 5 * time.Minute
	// runsFromPlain and runsFromPrompted are from how many crashes on the fleet runs one
	// request at a time.
	runsFromPlain    = 1
	runsFromPrompted = 2
	// suspectTTL is how long a crash counts against a whole request, since callers repeat
	// requests minutes apart.
	suspectTTL = 30 * time.Minute
	// wholeReportTTL is how long other routers are told of the whole requests in progress at
	// a crash. They remember them.
	wholeReportTTL = 10 * time.Second
	// runTTL is how long another router's run of a suspect keeps this one from running it.
	runTTL = 5 * time.Second
	// RunDelay is the time from the admission of a run until the request is sent. In it,
	// routers of a fleet without groups learn of the run, and of crashes at the same moment.
	RunDelay = 60 * time.Millisecond
	// RunWait is the retry delay of a request that is being run elsewhere.
	RunWait = time.Second
	// maxRunAge bounds the state if the end of a run is not recorded.
	maxRunAge = time.Hour

	maxWhole       = 4096
	maxCrashesEach = 8
	maxUsual       = 4096
)

// Request identifies a whole request: repeats of it are equal in all fields.
type Request struct {
	// Caller is the client account, or what else tells callers apart.
	Caller                        string
	Service, Host, Method, Target string
	Body                          []byte
	// Prompt is nil for plain services.
	Prompt *exchange.Prompt
}

// key returns the key of the request.
func (r Request) key() presence.PartKey {
	digest := xxhash.New()
	write := func(text string) {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	for _, text := range []string{r.Caller, r.Service, r.Host, r.Method, r.Target} {
		write(text)
	}
	if r.Prompt != nil {
		write(r.Prompt.Model)
		for _, part := range r.Prompt.Parts {
			write(part.ID)
		}
	}
	_, _ = digest.Write(r.Body)
	return presence.WholeKey(digest.Sum64(), r.Prompt != nil)
}

// WholePart returns the part that stands for a whole request, which callers may repeat.
func WholePart(r Request) Part {
	return Part{Key: r.key(), ID: r.Method + " " + r.Host + r.Target, Position: maxPartsEach}
}

// wholeCrash is a crash with a whole request in progress.
type wholeCrash struct {
	process presence.Key
	at      time.Duration
}

// whole is a request that was in progress at crashes.
type whole struct {
	id string
	// crashes are those since the request was last served, at most maxCrashesEach.
	crashes []wholeCrash
	// servedAt is when this router last learned that it was served; zero for never.
	servedAt time.Duration
	// changedAt is when its latest crash was, or when serving it cleared it of crashes.
	changedAt time.Duration
}

// crashesToQuarantine returns how many crashes put a whole request in quarantine.
func (c *Core) crashesToQuarantine(now time.Duration, key presence.PartKey) int {
	switch {
	case !key.IsPlain():
		return crashesOfPrompted
	case c.isUsual(now, key):
		return crashesOfUsual
	}
	return crashesOfPlain
}

// accuse holds a crash against the whole requests among its suspects. It reports whether this
// is news of a plain request.
func (c *Core) accuse(now time.Duration, process presence.Key, at time.Duration, suspects []presence.Suspect) (isNews bool) {
	var accused []presence.PartKey
	for _, s := range suspects {
		if s.Part.IsWhole() && c.addWholeCrash(now, s.Part, wholeCrash{process, at}) {
			accused = append(accused, s.Part)
			isNews = isNews || s.Part.IsPlain()
		}
	}
	c.judgeWhole(now, accused)
	return isNews
}

// addWholeCrash reports whether the crash was not known.
func (c *Core) addWholeCrash(now time.Duration, key presence.PartKey, crash wholeCrash) bool {
	if now-crash.at > suspectTTL {
		return false
	}
	w, known := c.whole[key]
	if !known {
		if len(c.whole) >= maxWhole {
			c.dropOldestWhole()
		}
		w = &whole{servedAt: c.usual.Get(key)}
		c.whole[key] = w
	}
	isSame := func(other wholeCrash) bool {
		return other.process == crash.process && (other.at-crash.at).Abs() <= sameCrashWindow
	}
	if w.servedAt != 0 && crash.at <= w.servedAt || len(w.crashes) >= maxCrashesEach || slices.ContainsFunc(w.crashes, isSame) {
		return false
	}
	w.crashes = append(w.crashes, crash)
	w.changedAt = max(w.changedAt, crash.at)
	return true
}

func (c *Core) dropOldestWhole() {
	var oldest presence.PartKey
	var at time.Duration
	for key, w := range c.whole {
		if oldest == 0 || w.changedAt < at {
			oldest, at = key, w.changedAt
		}
	}
	delete(c.whole, oldest)
}

// judgeWhole puts those of the whole requests in quarantine that enough crashes are held
// against. A sound one may have been in progress at each as well: only a test tells.
func (c *Core) judgeWhole(now time.Duration, keys []presence.PartKey) {
	for _, key := range keys {
		w := c.whole[key]
		if w == nil || c.isQuarantined(key) || c.weight(now, key, w) < c.crashesToQuarantine(now, key) {
			continue
		}
		c.decide(now, key, w.id, false, len(w.crashes), ReasonCrashes)
		c.isUrgent = c.isUrgent || key.IsPlain()
	}
}

// weight returns how many crashes are held against a whole request. Of a usual one, several
// at one moment count once: a lost rack takes repeats of it along.
func (c *Core) weight(now time.Duration, key presence.PartKey, w *whole) int {
	if !c.isUsual(now, key) {
		return len(w.crashes)
	}
	ages := make([]uint32, 0, len(w.crashes))
	for _, crash := range w.crashes {
		ages = append(ages, milliseconds(now-crash.at))
	}
	return independent(ages)
}

// isUsual reports whether a plain request was served lately.
func (c *Core) isUsual(now time.Duration, key presence.PartKey) bool {
	servedAt := c.usual.Get(key)
	if w := c.whole[key]; w != nil {
		servedAt = max(servedAt, w.servedAt)
	}
	return key.IsPlain() && servedAt != 0 && now-servedAt <= usualTTL
}

// explains reports whether a whole request in quarantine was in progress at the crash of a
// process.
func (c *Core) explains(process presence.Key) bool {
	for key, v := range c.verdicts {
		if w := c.whole[key]; !v.IsLifted && w != nil && slices.ContainsFunc(w.crashes, func(crash wholeCrash) bool { return crash.process == process }) {
			return true
		}
	}
	return false
}

// servedWhole records that a whole request was served at a time: no earlier crash counts
// against it.
func (c *Core) servedWhole(key presence.PartKey, at time.Duration) {
	w := c.whole[key]
	if w == nil || at <= w.servedAt {
		return
	}
	w.servedAt = at
	count := len(w.crashes)
	w.crashes = slices.DeleteFunc(w.crashes, func(crash wholeCrash) bool { return crash.at <= at })
	if len(w.crashes) < count {
		w.changedAt = max(w.changedAt, at)
	}
}

// suspicion returns how many endpoints a whole request may have crashed, connections that
// broke just now included.
func (c *Core) suspicion(now time.Duration, key presence.PartKey) int {
	var processes []presence.Key
	for _, p := range c.pending {
		if !p.isSilent && !slices.Contains(processes, p.process) && slices.ContainsFunc(p.parts, func(part Part) bool { return part.Key == key }) {
			processes = append(processes, p.process)
		}
	}
	w := c.whole[key]
	if w == nil {
		return len(processes)
	}
	for _, crash := range w.crashes {
		processes = slices.DeleteFunc(processes, func(p presence.Key) bool { return p == crash.process })
	}
	return c.weight(now, key, w) + len(processes)
}

// admitWhole decides on a whole request that may have crashed an endpoint: all routers
// together run one at a time, and none once it may have crashed too many. isRun is set if
// this is the one.
func (c *Core) admitWhole(now time.Duration, part Part) (refusal *Refusal, isRun bool) {
	crashes := c.suspicion(now, part.Key)
	isTooMany := crashes >= c.crashesToQuarantine(now, part.Key)
	if !isTooMany && (crashes < runsFrom(part.Key) || c.isUsual(now, part.Key)) {
		return nil, false
	}
	_, isOwn := c.runs[part.Key]
	isRunning := isOwn || c.runsElsewhere(now, part.Key)
	if isTooMany || isRunning {
		return &Refusal{ID: part.ID, Crashes: crashes, IsWhole: true, IsRunning: isRunning && !isTooMany, Wait: RunWait}, false
	}
	c.runs[part.Key], c.isUrgent = now, true
	return nil, true
}

func runsFrom(key presence.PartKey) int {
	if key.IsPlain() {
		return runsFromPlain
	}
	return runsFromPrompted
}

// IsSuspect reports whether the whole request among the parts may have crashed an endpoint. A
// connection that broke may turn out to be no crash.
func (c *Core) IsSuspect(now time.Duration, parts []Part) bool {
	return slices.ContainsFunc(parts, func(part Part) bool { return part.Key.IsWhole() && c.suspicion(now, part.Key) >= runsFrom(part.Key) })
}

// runsElsewhere reports whether another router runs a whole request.
func (c *Core) runsElsewhere(now time.Duration, key presence.PartKey) bool {
	for _, s := range c.sources {
		for _, run := range s.evidence.Runs {
			if run.Part == key && now-s.at+time.Duration(run.Age)*time.Millisecond < runTTL {
				return true
			}
		}
	}
	return false
}

// MayRun reports whether a request whose admission had IsRun set may be sent RunDelay later.
func (c *Core) MayRun(now time.Duration, parts []Part) bool {
	for _, part := range parts {
		if _, isRunning := c.runs[part.Key]; !isRunning {
			continue
		}
		return !c.isExplained(parts) && !c.runsElsewhere(now, part.Key) && c.suspicion(now, part.Key) < c.crashesToQuarantine(now, part.Key)
	}
	return false
}

// EndRun records the end of a request whose admission had IsRun set.
func (c *Core) EndRun(parts []Part) {
	for _, part := range parts {
		if _, isRunning := c.runs[part.Key]; isRunning {
			delete(c.runs, part.Key)
			c.isUrgent = true
		}
	}
}

// TakeUrgent reports whether there is news that other routers should be sent at once: a
// crash with a plain request in progress, a run of a request under suspicion, or a test. It is
// reported once.
func (c *Core) TakeUrgent() bool {
	isUrgent := c.isUrgent
	c.isUrgent = false
	return isUrgent
}

// reportWhole takes over what another router knows of whole requests.
func (c *Core) reportWhole(now time.Duration, evidence presence.CrashEvidence) {
	for _, crash := range evidence.Crashes {
		if c.accuse(now, crash.Process, now-time.Duration(crash.Age)*time.Millisecond, crash.Suspects) {
			c.isUrgent = true
		}
	}
	for _, served := range evidence.ServedWhole {
		c.servedWhole(served.Part, now-time.Duration(served.Age)*time.Millisecond)
	}
}

// stateWhole adds what this router knows of whole requests to its report.
func (c *Core) stateWhole(now time.Duration, e *presence.CrashEvidence) {
	for part, w := range c.whole {
		servedAt := c.usual.Get(part)
		if servedAt != 0 && (len(w.crashes) > 0 || now-w.changedAt <= wholeReportTTL) {
			e.ServedWhole = append(e.ServedWhole, presence.PartEvent{Part: part, Age: milliseconds(now - servedAt)})
		}
	}
	for part, at := range c.runs {
		e.Runs = append(e.Runs, presence.PartEvent{Part: part, Age: milliseconds(now - at)})
	}
}

// expireWhole forgets whole requests whose crashes are too old.
func (c *Core) expireWhole(now time.Duration) {
	for key, w := range c.whole {
		w.crashes = slices.DeleteFunc(w.crashes, func(crash wholeCrash) bool { return now-crash.at > suspectTTL })
		// Late reports of a crash find that the request was served since.
		if now-w.changedAt > liftedTTL && len(w.crashes) == 0 {
			delete(c.whole, key)
		}
	}
	for key, at := range c.runs {
		if now-at > maxRunAge {
			delete(c.runs, key)
		}
	}
}
