package gossip_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gentianhead/core/matrix"
	"gentianhead/core/process/gossip"
	"gentianhead/core/process/gossip/gossiptest"
	"gentianhead/core/process/isolation"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/version/resource"
)

func startLeaving(f *gossiptest.Fleet, i int) {
	f.Routers[i].Core.Step(gossip.Leave{At: f.Now})
}

func reportRefusal(f *gossiptest.Fleet, i int) {
	f.Routers[i].Core.Step(gossip.Refused{At: f.Now, Address: endpoint})
}

const (
	faultFleetSize = 9
	// faultDuration is how long faults last, recoveryDuration how long the fleet runs
	// after them, and checkInterval the time between two checks.
	faultDuration    = 12 * time.Second
	recoveryDuration = 15 * time.Second
	checkInterval    = 100 * time.Millisecond
	// maxFaultRuns is the maximum number of schedules per cell.
	maxFaultRuns = 10
)

type faultSimulation struct {
	*gossiptest.Fleet
	// isLinkDown[a][b] is set while messages from a to b are lost.
	isLinkDown [faultFleetSize][faultFleetSize]bool
	// noPeers and noStore mark routers that receive nothing from peers or the store;
	// isFrozen prevents changes to the list.
	noPeers, noStore [faultFleetSize]bool
	isFrozen         bool
	// reconnectedAt is when a router regained contact with its peers.
	reconnectedAt [faultFleetSize]time.Time
}

func newFaultSimulation(seed uint64) *faultSimulation {
	s := &faultSimulation{}
	s.Fleet = gossiptest.New(gossiptest.Options{Size: faultFleetSize, Zones: 3, Seed: seed, IsLinkDown: func(a, b int) bool {
		return s.isLinkDown[a][b]
	}})
	s.Platform.Head = 1
	for i := range 12 {
		s.Platform.Endpoints = append(s.Platform.Endpoints, withdrawal.ListedEndpoint{Address: fmt.Sprintf("10.9.0.%d:8000", i+1)})
	}
	s.Run(discoveryTime)
	return s
}

// setPeersCut cuts or restores the links to (in) and from (out) a victim.
func (s *faultSimulation) setPeersCut(victim int, in, out, isCut bool) {
	for i := range faultFleetSize {
		if i != victim {
			s.isLinkDown[i][victim] = s.isLinkDown[i][victim] && !in || in && isCut
			s.isLinkDown[victim][i] = s.isLinkDown[victim][i] && !out || out && isCut
		}
	}
	s.noPeers[victim] = isCut && in
	if !isCut && in {
		s.reconnectedAt[victim] = s.Now
	}
}

func (s *faultSimulation) setStoreCut(victim int, isCut bool) {
	s.Routers[victim].IsStoreUnreachable = isCut
	s.noStore[victim] = isCut
}

// fault is a temporary fault of one router or of the platform.
type fault struct {
	name       string
	begin, end func(s *faultSimulation, victim int)
}

var faults = []fault{
	{"kill and restart", func(s *faultSimulation, v int) { s.Routers[v].IsDown = true }, func(s *faultSimulation, v int) { s.Start(s.Routers[v]) }},
	{"pause", func(s *faultSimulation, v int) { s.Pause(s.Routers[v]) }, func(s *faultSimulation, v int) { s.Resume(s.Routers[v]) }},
	{"cut from peers, inward", func(s *faultSimulation, v int) { s.setPeersCut(v, true, false, true) }, func(s *faultSimulation, v int) { s.setPeersCut(v, true, false, false) }},
	{"cut from peers, outward", func(s *faultSimulation, v int) { s.setPeersCut(v, false, true, true) }, func(s *faultSimulation, v int) { s.setPeersCut(v, false, true, false) }},
	{"cut from peers", func(s *faultSimulation, v int) { s.setPeersCut(v, true, true, true) }, func(s *faultSimulation, v int) { s.setPeersCut(v, true, true, false) }},
	{"cut from the store", func(s *faultSimulation, v int) { s.setStoreCut(v, true) }, func(s *faultSimulation, v int) { s.setStoreCut(v, false) }},
	{"cut from store and peers", func(s *faultSimulation, v int) { s.setPeersCut(v, true, true, true); s.setStoreCut(v, true) }, func(s *faultSimulation, v int) { s.setPeersCut(v, true, true, false); s.setStoreCut(v, false) }},
	{"store down", func(s *faultSimulation, _ int) { s.Platform.IsDown = true }, func(s *faultSimulation, _ int) { s.Platform.IsDown = false }},
	{"stale list", func(s *faultSimulation, _ int) { s.isFrozen = true }, func(s *faultSimulation, _ int) { s.isFrozen = false }},
}

// withdrawalChannel is how routers learn of a withdrawal.
type withdrawalChannel struct {
	name     string
	withdraw func(s *faultSimulation)
	knows    func(r *gossiptest.Router) bool
	// isFromStore is set if a router without peers learns of it too.
	isFromStore bool
}

// reportingRouter is the index of the router to which the endpoint refuses work.
const reportingRouter = 8

var withdrawalChannels = []withdrawalChannel{
	{
		"operator", func(s *faultSimulation) { s.Platform.Head = 2 },
		func(r *gossiptest.Router) bool { return r.InForce >= resource.Revision(2) }, true,
	},
	{"list", func(s *faultSimulation) {
		if s.isFrozen {
			return
		}
		changed := slices.Clone(s.Platform.Endpoints)
		changed[0].IsLeaving = true
		s.Platform.Endpoints = changed
	}, knowsWithdrawal, true},
	{"endpoint's own answer", func(s *faultSimulation) { reportRefusal(s.Fleet, reportingRouter) }, knowsWithdrawal, false},
}

// faultSchedule is one or two simultaneous faults.
type faultSchedule struct {
	faults []fault
	// offset is the start of the faults relative to the withdrawal.
	offset  time.Duration
	victims []int
}

// runWithdrawal describes a router that sends work to a withdrawn endpoint too late,
// or returns an empty string.
func runWithdrawal(seed uint64, w withdrawalChannel, schedule faultSchedule) string {
	s := newFaultSimulation(seed)
	begin := func() {
		for i, fault := range schedule.faults {
			fault.begin(s, schedule.victims[i])
		}
	}
	if schedule.offset <= 0 {
		begin()
		s.Run(-schedule.offset)
	}
	// The withdrawal counts as announced once the first router has learned of it.
	w.withdraw(s)
	withdrawn := s.Now
	if schedule.offset > 0 {
		s.Run(schedule.offset)
		begin()
	}
	isAnnounced := func() bool { return slices.ContainsFunc(s.Routers, w.knows) }
	announced := time.Time{}
	s.AfterTick = func(*gossiptest.Router) {
		if announced.IsZero() && isAnnounced() {
			announced = s.Now
		}
	}
	problem := ""
	watch := func(d time.Duration) {
		for end := s.Now.Add(d); s.Now.Before(end) && problem == ""; s.Run(checkInterval) {
			for _, r := range s.Routers {
				if s.IsSendingWork(r) && !w.knows(r) && s.Now.Sub(withdrawn) > s.bound(r.Index()) && s.isRequiredToKnow(r, w, announced) {
					problem = fmt.Sprintf("seed %d: router %d sends new work %v after", seed, r.Index(), s.Now.Sub(withdrawn))
				}
			}
		}
	}
	watch(faultDuration)
	for i, fault := range schedule.faults {
		fault.end(s, schedule.victims[i])
	}
	watch(recoveryDuration)
	return problem
}

// isRequiredToKnow reports whether a router must know of the withdrawal by now. It is
// false while a downed store or a stale list keeps all routers from learning of it.
func (s *faultSimulation) isRequiredToKnow(r *gossiptest.Router, w withdrawalChannel, announced time.Time) bool {
	if announced.IsZero() || s.Now.Sub(announced) <= s.bound(r.Index()) || s.Now.Sub(s.reconnectedAt[r.Index()]) <= withdrawalBound {
		return false
	}
	// A router without peers gets the endpoint's refusal itself when it sends work.
	return w.isFromStore || !s.noPeers[r.Index()]
}

// bound is the time to stop sending to a withdrawn endpoint: 2 s for a router with
// peers and the documented 10 s for others.
func (s *faultSimulation) bound(router int) time.Duration {
	if s.noPeers[router] {
		return isolation.MaxSendAfterContact
	}
	return withdrawalBound
}

func runsOfCell() int { return min(matrix.Runs(1), maxFaultRuns) }

// Guards against work sent to a withdrawn endpoint after the bound because of one
// or two faults.
func TestFaultsWithdrawal(t *testing.T) {
	m := matrix.New(t)
	record := func(step, name string, w withdrawalChannel, schedule faultSchedule) {
		verdict, note := matrix.Held, ""
		runs := runsOfCell()
		for i := range runs {
			if problem := runWithdrawal(matrix.Seed()*1000+uint64(i), w, schedule); problem != "" {
				verdict, note = matrix.Broken, problem
				break
			}
		}
		m.Record(matrix.Cell{Protocol: "withdrawal", Step: step, Fault: name}, verdict, runs, note)
	}
	offsets := []struct {
		name string
		at   time.Duration
	}{{"before", -time.Second}, {"during", 0}, {"after 150ms", 150 * time.Millisecond}}
	for _, w := range withdrawalChannels {
		for _, offset := range offsets {
			for _, f := range faults {
				record(w.name+", "+offset.name, f.name, w, faultSchedule{[]fault{f}, offset.at, []int{1}})
			}
		}
		for i, a := range faults {
			for _, b := range faults[i:] {
				record(w.name, a.name+" + "+b.name, w, faultSchedule{[]fault{a, b}, 0, []int{1, 2}})
			}
		}
	}
	for _, name := range []string{"slow peers", "write answer lost", "operators racing", "crossed and truncated answers", "lease lapsed", "three faults together"} {
		m.Record(matrix.Cell{Protocol: "withdrawal", Step: "any", Fault: name}, matrix.NotCovered, 0, "")
	}
	m.Record(matrix.Cell{Protocol: "withdrawal", Step: "any", Fault: "clock jump"}, matrix.NotCovered, 0, "only on the isolation core, in its own tests")
}

// membershipChange is a change of the fleet that all routers should learn of.
type membershipChange struct {
	name string
	do   func(s *faultSimulation)
}

var membershipChanges = []membershipChange{
	{"a router joins", func(s *faultSimulation) { s.Start(s.Routers[7]) }},
	{"a router leaves", func(s *faultSimulation) { startLeaving(s.Fleet, 7); s.Run(time.Second); s.Routers[7].IsDown = true }},
	{"a router dies", func(s *faultSimulation) { s.Routers[7].IsDown = true }},
}

// runMembership describes a router that has a wrong view or sends no work after the
// faults, or returns an empty string.
func runMembership(seed uint64, c membershipChange, schedule faultSchedule) string {
	s := newFaultSimulation(seed)
	for i, fault := range schedule.faults {
		fault.begin(s, schedule.victims[i])
	}
	c.do(s)
	s.Run(faultDuration)
	for i, fault := range schedule.faults {
		fault.end(s, schedule.victims[i])
	}
	s.Run(recoveryDuration)
	for _, r := range s.Routers {
		if r.IsDown {
			continue
		}
		for _, other := range s.Routers {
			if _, isSeen := r.Core.View().Find(other.Instance()); isSeen == other.IsDown {
				return fmt.Sprintf("seed %d: router %d has router %d in its view: %t", seed, r.Index(), other.Index(), isSeen)
			}
		}
		if !s.IsSendingWork(r) {
			return fmt.Sprintf("seed %d: router %d sends no new work", seed, r.Index())
		}
	}
	return ""
}

// Guards against faults that keep views wrong or routers isolated after they end.
func TestFaultsMembership(t *testing.T) {
	m := matrix.New(t)
	record := func(c membershipChange, name string, schedule faultSchedule) {
		verdict, note := matrix.Held, ""
		runs := runsOfCell()
		for i := range runs {
			if problem := runMembership(matrix.Seed()*1000+uint64(i), c, schedule); problem != "" {
				verdict, note = matrix.Broken, problem
				break
			}
		}
		m.Record(matrix.Cell{Protocol: "membership", Step: c.name, Fault: name}, verdict, runs, note)
	}
	for _, c := range membershipChanges {
		for i, a := range faults {
			record(c, a.name, faultSchedule{[]fault{a}, 0, []int{1}})
			for _, b := range faults[i:] {
				record(c, a.name+" + "+b.name, faultSchedule{[]fault{a, b}, 0, []int{1, 2}})
			}
		}
	}
	for _, name := range []string{"slow peers", "clock jump", "lease lapsed", "three faults together"} {
		m.Record(matrix.Cell{Protocol: "membership", Step: "any", Fault: name}, matrix.NotCovered, 0, "")
	}
}
