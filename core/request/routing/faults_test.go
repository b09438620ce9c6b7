package routing

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gentianhead/core/matrix"
	"gentianhead/core/request/admission"
	"gentianhead/core/request/reservation"
)

// routingFault happens at a call between two routers. It returns what becomes
// of the call.
type routingFault struct {
	name string
	// isSplit faults leave routers silent that still run requests.
	isSplit bool
	strike  func(c *cluster, from, to *fakeRouter) fate
}

const faultTime = 2 * time.Second

func routingFaults() []routingFault {
	return []routingFault{
		{"question lost", false, func(*cluster, *fakeRouter, *fakeRouter) fate { return fate{isQuestionLost: true} }},
		{"answer lost", false, func(*cluster, *fakeRouter, *fakeRouter) fate { return fate{isAnswerLost: true} }},
		{"answer slow", false, func(*cluster, *fakeRouter, *fakeRouter) fate { return fate{late: testTimeout / 2} }},
		{"answer after the timeout", false, func(*cluster, *fakeRouter, *fakeRouter) fate { return fate{late: 2 * testTimeout} }},
		{"sender killed", false, func(c *cluster, from, _ *fakeRouter) fate { c.kill(from); return fate{} }},
		{"receiver killed", false, func(c *cluster, _, to *fakeRouter) fate { c.kill(to); return fate{} }},
		{"receiver killed, restarted", false, func(c *cluster, _, to *fakeRouter) fate {
			c.kill(to)
			c.after(faultTime, func() { c.restart(to) })
			return fate{}
		}},
		{"sender paused", true, func(c *cluster, from, _ *fakeRouter) fate { c.pause(from, faultTime); return fate{} }},
		{"receiver paused", true, func(c *cluster, _, to *fakeRouter) fate { c.pause(to, faultTime); return fate{} }},
		{"cut one way", true, func(c *cluster, from, to *fakeRouter) fate {
			until := c.now.Add(faultTime)
			c.intercept = func(f, t *fakeRouter, _ Call) fate {
				return fate{isQuestionLost: f == from && t == to && c.now.Before(until)}
			}
			return fate{isQuestionLost: true}
		}},
		{"cut both ways", true, func(c *cluster, _, to *fakeRouter) fate {
			to.isCut = true
			c.after(faultTime, func() { to.isCut = false })
			return fate{}
		}},
		{"lists differ", false, func(c *cluster, from, to *fakeRouter) fate {
			c.setViews(func(f, t *fakeRouter) bool { return f == from && t == to })
			c.after(faultTime, func() { c.setViews(nil) })
			return fate{}
		}},
		{"engine withdrawn", false, func(c *cluster, _, _ *fakeRouter) fate {
			c.isGone[c.engines[0]] = true
			return fate{}
		}},
	}
}

// routingSteps are the calls of the protocol.
func routingSteps() map[string]func(Message) bool {
	return map[string]func(Message) bool{
		"register": func(m Message) bool { _, ok := m.(*reservation.Registration); return ok },
		"reserve":  func(m Message) bool { _, ok := m.(*reservation.Request); return ok },
		"release":  func(m Message) bool { _, ok := m.(*reservation.Release); return ok },
		"invite":   func(m Message) bool { _, ok := m.(*reservation.Invitation); return ok },
	}
}

// schedule is one run of a cell. It returns what was broken, or nothing.
func schedule(seed uint64, isStep func(Message) bool, needsChange bool, faults ...routingFault) string {
	c := newCluster(seed, 6, 12, 1.25)
	c.run(100 * time.Millisecond)
	c.ask(24*time.Second, faultRate)
	c.run(8 * time.Second)
	next, after := 0, c.now
	isSplit := false
	c.intercept = func(from, to *fakeRouter, call Call) fate {
		if next >= len(faults) || !isStep(call.Message) || c.now.Before(after) || from.isDead || to.isDead {
			return fate{}
		}
		fault := faults[next]
		next++
		after = c.now.Add(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
		isSplit = isSplit || fault.isSplit
		return fault.strike(c, from, to)
	}
	if needsChange {
		c.kill(c.observer())
	}
	c.run(16 * time.Second)
	var broken []string
	allowed := 0.0
	if isSplit {
		allowed = splitExcess(len(faults))
	}
	if c.worst > allowed+1e-9 {
		broken = append(broken, fmt.Sprintf("load %.2f above the bound", c.worst))
	}
	if c.unhinted > 0 || c.duplicates > 0 {
		broken = append(broken, fmt.Sprintf("%d refusals without time, %d placed twice", c.unhinted, c.duplicates))
	}
	if next == 0 {
		broken = append(broken, "the step did not occur")
	}
	c.intercept = nil
	c.setViews(nil)
	c.run(2 * reservation.Lease)
	if held := c.held(); held != 0 {
		broken = append(broken, fmt.Sprintf("%d grants held for ever", held))
	}
	for _, r := range c.nodes {
		if !r.isDead && len(r.requests) > 0 {
			broken = append(broken, fmt.Sprintf("%d requests without an answer on %s", len(r.requests), r.name))
		}
	}
	return strings.Join(broken, "; ")
}

// faultRate is how many requests arrive per second.
const faultRate = 25

// splitExcess is how far above the bound a load may be while routers are paused
// or cut off: until their silence makes them suspect, the mean counts requests
// that have ended unseen. Their number is Poisson distributed.
func splitExcess(faults int) float64 {
	unseen := 5*reservation.RenewInterval/2 + reservation.TickInterval
	ended := faultRate * unseen.Seconds() * float64(faults)
	return 1.25 / 12 * (ended + 4*math.Sqrt(ended))
}

func TestFaultsRouting(t *testing.T) {
	m := matrix.New(t)
	runs := max(1, matrix.Runs(40)/20)
	for step, isStep := range routingSteps() {
		needsChange := step == "register" || step == "invite"
		for _, fault := range routingFaults() {
			record(m, step, fault.name, fault.isSplit, runs, func(seed uint64) string {
				return schedule(seed, isStep, needsChange, fault)
			})
		}
	}
	for _, first := range routingFaults() {
		for _, second := range routingFaults() {
			record(m, "reserve, twice", first.name+" + "+second.name, first.isSplit || second.isSplit, max(1, runs/10), func(seed uint64) string {
				return schedule(seed, routingSteps()["reserve"], false, first, second)
			})
		}
	}
	for _, fault := range []string{"clock jump", "views split in halves for longer than the lease"} {
		m.Record(matrix.Cell{Protocol: "routing", Step: "any", Fault: fault}, matrix.NotCovered, 0, "")
	}
}

func record(m *matrix.Matrix, step, fault string, isSplit bool, runs int, run func(seed uint64) string) {
	verdict, note := matrix.Held, ""
	if isSplit {
		note = fmt.Sprintf("at most %.1f a fault above the bound while paused or cut off", splitExcess(1))
	}
	for i := range runs {
		seed := matrix.Seed()*1_000_003 + uint64(i)
		if broken := run(seed); broken != "" {
			verdict, note = matrix.Broken, fmt.Sprintf("seed %d: %s", seed, broken)
			break
		}
	}
	m.Record(matrix.Cell{Protocol: "routing", Step: step, Fault: fault}, verdict, runs, note)
}

// TestFaultsAdmission holds the rate of one account across the fleet while
// reports of demand, and shares, are lost, late or from routers that die.
func TestFaultsAdmission(t *testing.T) {
	m := matrix.New(t)
	isDemand := func(message Message) bool { _, ok := message.(*admission.Demand); return ok }
	for _, fault := range routingFaults() {
		verdict, note := matrix.Held, ""
		runs := max(1, matrix.Runs(40)/20)
		for i := range runs {
			seed := matrix.Seed()*1_000_003 + uint64(i)
			if broken := surge(seed, isDemand, fault); broken != "" {
				verdict, note = matrix.Broken, fmt.Sprintf("seed %d: %s", seed, broken)
				break
			}
		}
		m.Record(matrix.Cell{Protocol: "admission", Step: "share", Fault: fault.name}, verdict, runs, note)
	}
	m.Record(matrix.Cell{Protocol: "admission", Step: "share", Fault: "clock jump"}, matrix.NotCovered, 0, "")
}

// surge lets one account ask ten times its limit for 20 s while a fault strikes
// reports again and again.
func surge(seed uint64, isStep func(Message) bool, fault routingFault) string {
	const limit, seconds, routers = 50.0, 20, 6
	c := newCluster(seed, routers, 12, 1.25)
	c.run(100 * time.Millisecond)
	allowed := 0
	after := c.now.Add(2 * time.Second)
	c.intercept = func(from, to *fakeRouter, call Call) fate {
		if !isStep(call.Message) || c.now.Before(after) || from.isDead || to.isDead {
			return fate{}
		}
		after = c.now.Add(6 * time.Second)
		return fault.strike(c, from, to)
	}
	for i := range int(seconds * limit * 10) {
		c.after(time.Duration(float64(i)/(limit*10)*float64(time.Second)), func() {
			r := c.nodes[c.rng.IntN(len(c.nodes))]
			if !r.isDead && !r.isPaused && r.Admit(c.now, "limited") == nil {
				allowed++
			}
		})
	}
	c.run(seconds * time.Second)
	// Each router process may use a burst once, and until shares are in force
	// and after they lapsed an equal part of the limit.
	most := limit*seconds + 2*routers*admission.MinBurst + 2*limit*admission.BurstTime.Seconds() +
		limit*(admission.ShareIntervals*admission.ReportInterval).Seconds()
	if float64(allowed) > most {
		return fmt.Sprintf("%d admitted, %.0f allowed", allowed, most)
	}
	return ""
}
