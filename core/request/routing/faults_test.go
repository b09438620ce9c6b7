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

// routingFault is injected into a call between two routers.
type routingFault struct {
	name string
	// isSilencing is set if the fault silences routers that still run requests.
	isSilencing bool
	// inject injects the fault and returns the outcome of the call.
	inject func(c *cluster, from, to *fakeRouter) callOutcome
}

const faultDuration = 2 * time.Second

func routingFaults() []routingFault {
	return []routingFault{
		{"question lost", false, func(*cluster, *fakeRouter, *fakeRouter) callOutcome { return callOutcome{isRequestLost: true} }},
		{"answer lost", false, func(*cluster, *fakeRouter, *fakeRouter) callOutcome { return callOutcome{isReplyLost: true} }},
		{"answer slow", false, func(*cluster, *fakeRouter, *fakeRouter) callOutcome { return callOutcome{replyDelay: testTimeout / 2} }},
		{"answer after the timeout", false, func(*cluster, *fakeRouter, *fakeRouter) callOutcome { return callOutcome{replyDelay: 2 * testTimeout} }},
		{"sender killed", false, func(c *cluster, from, _ *fakeRouter) callOutcome { c.kill(from); return callOutcome{} }},
		{"receiver killed", false, func(c *cluster, _, to *fakeRouter) callOutcome { c.kill(to); return callOutcome{} }},
		{"receiver killed, restarted", false, func(c *cluster, _, to *fakeRouter) callOutcome {
			c.kill(to)
			c.after(faultDuration, func() { c.restart(to) })
			return callOutcome{}
		}},
		{"sender paused", true, func(c *cluster, from, _ *fakeRouter) callOutcome { c.pause(from, faultDuration); return callOutcome{} }},
		{"receiver paused", true, func(c *cluster, _, to *fakeRouter) callOutcome { c.pause(to, faultDuration); return callOutcome{} }},
		{"cut one way", true, func(c *cluster, from, to *fakeRouter) callOutcome {
			until := c.now.Add(faultDuration)
			c.intercept = func(f, t *fakeRouter, _ Call) callOutcome {
				return callOutcome{isRequestLost: f == from && t == to && c.now.Before(until)}
			}
			return callOutcome{isRequestLost: true}
		}},
		{"cut both ways", true, func(c *cluster, _, to *fakeRouter) callOutcome {
			to.isPartitioned = true
			c.after(faultDuration, func() { to.isPartitioned = false })
			return callOutcome{}
		}},
		{"lists differ", false, func(c *cluster, from, to *fakeRouter) callOutcome {
			c.setViews(func(f, t *fakeRouter) bool { return f == from && t == to })
			c.after(faultDuration, func() { c.setViews(nil) })
			return callOutcome{}
		}},
		{"engine withdrawn", false, func(c *cluster, _, _ *fakeRouter) callOutcome {
			c.isWithdrawn[c.engines[0]] = true
			return callOutcome{}
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

// runSchedule runs one schedule of a matrix cell and returns the violations, if any.
func runSchedule(seed uint64, isStep func(Message) bool, killsObserver bool, faults ...routingFault) string {
	c := newCluster(seed, 6, 12, 1.25)
	c.run(100 * time.Millisecond)
	c.generateLoad(24*time.Second, requestRate)
	c.run(8 * time.Second)
	next, after := 0, c.now
	isSilencing := false
	c.intercept = func(from, to *fakeRouter, call Call) callOutcome {
		if next >= len(faults) || !isStep(call.Message) || c.now.Before(after) || from.isDead || to.isDead {
			return callOutcome{}
		}
		fault := faults[next]
		next++
		after = c.now.Add(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
		isSilencing = isSilencing || fault.isSilencing
		return fault.inject(c, from, to)
	}
	if killsObserver {
		c.kill(c.observer())
	}
	c.run(16 * time.Second)
	var broken []string
	allowed := 0.0
	if isSilencing {
		allowed = silenceExcess(len(faults))
	}
	if c.worstExcess > allowed+1e-9 {
		broken = append(broken, fmt.Sprintf("load %.2f above the bound", c.worstExcess))
	}
	if c.withoutRetryAfter > 0 || c.duplicates > 0 {
		broken = append(broken, fmt.Sprintf("%d refusals without a retry delay, %d requests placed twice", c.withoutRetryAfter, c.duplicates))
	}
	if next == 0 {
		broken = append(broken, "the step did not occur")
	}
	c.intercept = nil
	c.setViews(nil)
	c.run(2 * reservation.Lease)
	if grantCount := c.grantCount(); grantCount != 0 {
		broken = append(broken, fmt.Sprintf("%d grants never released", grantCount))
	}
	for _, r := range c.nodes {
		if !r.isDead && len(r.requests) > 0 {
			broken = append(broken, fmt.Sprintf("%d requests without a placement on %s", len(r.requests), r.name))
		}
	}
	return strings.Join(broken, "; ")
}

// requestRate is the number of requests per second.
const requestRate = 25

// silenceExcess returns how far a load may exceed the bound while routers are paused
// or partitioned: until these become suspect, the mean counts requests that have
// already ended. Their number is Poisson distributed.
func silenceExcess(faults int) float64 {
	unseen := 5*reservation.RenewInterval/2 + reservation.TickInterval
	ended := requestRate * unseen.Seconds() * float64(faults)
	return 1.25 / 12 * (ended + 4*math.Sqrt(ended))
}

// No single fault at any step of the protocol, and no two faults at reserve, may
// exceed the bound, leak grants or leave requests without a placement.
func TestFaultsRouting(t *testing.T) {
	m := matrix.New(t)
	runs := max(1, matrix.Runs(40)/20)
	for step, isStep := range routingSteps() {
		killsObserver := step == "register" || step == "invite"
		for _, fault := range routingFaults() {
			record(m, step, fault.name, fault.isSilencing, runs, func(seed uint64) string {
				return runSchedule(seed, isStep, killsObserver, fault)
			})
		}
	}
	for _, first := range routingFaults() {
		for _, second := range routingFaults() {
			record(m, "reserve, twice", first.name+" + "+second.name, first.isSilencing || second.isSilencing, max(1, runs/10), func(seed uint64) string {
				return runSchedule(seed, routingSteps()["reserve"], false, first, second)
			})
		}
	}
	for _, fault := range []string{"clock jump", "views split in halves for longer than the lease"} {
		m.Record(matrix.Cell{Protocol: "routing", Step: "any", Fault: fault}, matrix.NotCovered, 0, "")
	}
}

func record(m *matrix.Matrix, step, fault string, isSilencing bool, runs int, run func(seed uint64) string) {
	verdict, note := matrix.Held, ""
	if isSilencing {
		note = fmt.Sprintf("at most %.1f a fault above the bound while paused or cut off", silenceExcess(1))
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

// Lost or late demand reports and shares, and routers that are killed, must not
// let an account exceed its rate across the fleet.
func TestFaultsAdmission(t *testing.T) {
	m := matrix.New(t)
	isDemand := func(message Message) bool { _, ok := message.(*admission.Demand); return ok }
	for _, fault := range routingFaults() {
		verdict, note := matrix.Held, ""
		runs := max(1, matrix.Runs(40)/20)
		for i := range runs {
			seed := matrix.Seed()*1_000_003 + uint64(i)
			if broken := overloadAccount(seed, isDemand, fault); broken != "" {
				verdict, note = matrix.Broken, fmt.Sprintf("seed %d: %s", seed, broken)
				break
			}
		}
		m.Record(matrix.Cell{Protocol: "admission", Step: "share", Fault: fault.name}, verdict, runs, note)
	}
	m.Record(matrix.Cell{Protocol: "admission", Step: "share", Fault: "clock jump"}, matrix.NotCovered, 0, "")
}

// overloadAccount sends ten times the limit of one account for 20 s and injects a
// fault into its demand reports every 6 s.
func overloadAccount(seed uint64, isStep func(Message) bool, fault routingFault) string {
	const limit, seconds, routers = 50.0, 20, 6
	c := newCluster(seed, routers, 12, 1.25)
	c.run(100 * time.Millisecond)
	allowed := 0
	after := c.now.Add(2 * time.Second)
	c.intercept = func(from, to *fakeRouter, call Call) callOutcome {
		if !isStep(call.Message) || c.now.Before(after) || from.isDead || to.isDead {
			return callOutcome{}
		}
		after = c.now.Add(6 * time.Second)
		return fault.inject(c, from, to)
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
	// Each router process may use one burst, and an equal part of the limit before
	// it receives shares and after these expire.
	maxAllowed := limit*seconds + 2*routers*admission.MinBurst + 2*limit*admission.BurstTime.Seconds() +
		limit*(admission.ShareIntervals*admission.ReportInterval).Seconds()
	if float64(allowed) > maxAllowed {
		return fmt.Sprintf("%d admitted, %.0f allowed", allowed, maxAllowed)
	}
	return ""
}
