package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"gentianhead/core/process/presence"
)

// evidence returns all known crashes that no quarantine explains, with their ages.
func (c *Core) evidence(now time.Duration) []presence.Crash {
	own := presence.CrashEvidence{}
	for _, seen := range c.own {
		own.Crashes = append(own.Crashes, presence.Crash{Process: seen.process, Age: milliseconds(now - seen.at), Suspects: suspectsOf(seen.parts)})
	}
	all := []presence.CrashEvidence{own}
	for _, source := range c.sources {
		all = append(all, presence.CrashEvidence{Crashes: source.evidence.Crashes}.Older(now-source.at))
	}
	return slices.DeleteFunc(presence.MergeCrashes(all...), func(crash presence.Crash) bool {
		isExplained := slices.ContainsFunc(crash.Suspects, func(s presence.Suspect) bool { return c.isQuarantined(s.Part) })
		return isExplained || c.explains(crash.Process) || crash.Age > milliseconds(evidenceTTL)
	})
}

// servedCount returns how many requests with a part all routers know to be served.
func (c *Core) servedCount(now time.Duration, part presence.PartKey) int {
	count := c.served.count(now, part)
	for _, source := range c.sources {
		for _, s := range source.evidence.Served {
			if s.Part == part {
				count += int(s.Count)
			}
		}
	}
	return count
}

// lastServedAt returns when a part was last served as far as all routers know, zero if it wasn't
// in the time that counts. A router that states no time may have served it just now.
func (c *Core) lastServedAt(now time.Duration, part presence.PartKey) time.Duration {
	last := c.served.tally(now, part).lastAt
	isPart := func(e presence.PartEvent) bool { return e.Part == part }
	for _, source := range c.sources {
		if at := slices.IndexFunc(source.evidence.LastServed, isPart); at >= 0 {
			last = max(last, source.at-time.Duration(source.evidence.LastServed[at].Age)*time.Millisecond)
		} else if slices.ContainsFunc(source.evidence.Served, func(s presence.ServedPart) bool { return s.Part == part }) {
			last = max(last, source.at)
		}
	}
	return last
}

// crashesNeeded returns how many crashes put a part in quarantine.
func (c *Core) crashesNeeded(now time.Duration, part presence.PartKey) int {
	return minCrashes * (1 + c.servedCount(now, part))
}

// candidate is a part that may be the cause of crashes.
type candidate struct {
	part            presence.PartKey
	position        uint8
	ages            []uint32
	crashes, served int
	// unserved is the number of crashes since the part was last served.
	unserved int
}

// candidates returns the prompt parts among the suspects of the evidence.
func (c *Core) candidates(now time.Duration) []*candidate {
	byPart := make(map[presence.PartKey]*candidate)
	for _, seen := range c.evidence(now) {
		counted := make(map[presence.PartKey]bool, len(seen.Suspects))
		for _, s := range seen.Suspects {
			if counted[s.Part] || s.Part.IsWhole() {
				continue
			}
			counted[s.Part] = true
			known, isKnown := byPart[s.Part]
			if !isKnown {
				known = &candidate{part: s.Part, position: s.Position}
				byPart[s.Part] = known
			}
			known.ages = append(known.ages, seen.Age)
		}
	}
	list := make([]*candidate, 0, len(byPart))
	for _, one := range byPart {
		one.crashes = independent(one.ages)
		list = append(list, one)
	}
	return list
}

// independent counts the crashes that are further apart than commonCauseWindow.
func independent(ages []uint32) int {
	slices.Sort(ages)
	count := 0
	var last uint32
	for _, age := range ages {
		if count == 0 || age-last >= milliseconds(commonCauseWindow) {
			count++
			last = age
		}
	}
	return count
}

// judge puts parts in quarantine, the one that explains most crashes first. A deeper part
// of equally many crashes goes first, since fewer requests share it.
func (c *Core) judge(now time.Duration) {
	c.judgedAt = now
	if len(c.own)+len(c.sources) == 0 {
		clear(c.suspectSince)
		return
	}
	list := c.candidates(now)
	c.updateSuspects(now, list)
	for len(list) > 0 {
		var guilty []*candidate
		for _, one := range list {
			if one.crashes < minCrashes || now-c.suspectSince[one.part] < settleTime {
				continue
			}
			one.served = c.servedCount(now, one.part)
			since := milliseconds(now - c.lastServedAt(now, one.part))
			one.unserved = independent(lo.Filter(one.ages, func(age uint32, _ int) bool { return age < since }))
			if one.crashes >= minCrashes*(1+one.served) || one.unserved >= minUnservedCrashes {
				guilty = append(guilty, one)
			}
		}
		if len(guilty) == 0 {
			return
		}
		worst := slices.MaxFunc(guilty, func(a, b *candidate) int {
			return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(b.served, a.served), cmp.Compare(a.position, b.position), cmp.Compare(a.part, b.part))
		})
		c.decide(now, worst.part, c.idOf(worst.part), false, worst.crashes, ReasonCrashes)
		list = c.candidates(now)
	}
}

// updateSuspects notes when suspects became known, and forgets those without evidence.
func (c *Core) updateSuspects(now time.Duration, list []*candidate) {
	current := make(map[presence.PartKey]time.Duration, len(list))
	for _, one := range list {
		since, known := c.suspectSince[one.part]
		if !known {
			since = now
		}
		current[one.part] = since
	}
	c.suspectSince = current
}

// idOf returns the id of a part that this router has seen in a crash, or an empty text.
func (c *Core) idOf(part presence.PartKey) string {
	for _, seen := range c.own {
		for _, p := range seen.parts {
			if p.Key == part {
				return p.ID
			}
		}
	}
	return ""
}

// decide replaces the verdict on a part.
func (c *Core) decide(now time.Duration, part presence.PartKey, id string, isLifted bool, crashes int, reason string) {
	known, isKnown := c.verdicts[part]
	if !isKnown && len(c.verdicts) >= maxVerdicts {
		c.dropOldestVerdict()
	}
	next := &verdict{id: id, decidedAt: now, matchedAt: now}
	next.Verdict = presence.Verdict{Part: part, Revision: 1, IsLifted: isLifted, Crashes: uint32(crashes), Period: milliseconds(firstPeriodOf(part))}
	if part.IsWhole() {
		// Releases that don't know whole requests with prompts lift quarantines of fewer crashes.
		next.Crashes = max(next.Crashes, minCrashes)
	}
	if isKnown {
		next.Revision = known.Revision + 1
		next.id = cmp.Or(id, known.id)
	}
	c.verdicts[part] = next
	c.changes = append(c.changes, Change{
		Part: part, ID: next.id, IsQuarantined: !isLifted, Crashes: crashes, Served: c.servedCount(now, part), Period: next.period(), Reason: reason,
	})
}

func (c *Core) dropOldestVerdict() {
	var oldest *verdict
	for _, v := range c.verdicts {
		if oldest == nil || v.matchedAt < oldest.matchedAt {
			oldest = v
		}
	}
	delete(c.verdicts, oldest.Part)
}
