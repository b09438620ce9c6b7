// Command routing compares routing policies under seeded loads in simulation. It
// exits with 1 when a bound is missed.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"gentianhead/core/virtual"
)

// Bounds on the control bytes per second that routing sends: the mean of all routers,
// and the most for one, which is a router's whole limit minus the other parts' share.
const (
	meanControlBytes = 2048
	maxControlBytes  = 5 * 1024
)

type policyRow struct {
	name string
	new  func(*sim) policy
}

func baselineRow(name string, choose func(*baseline, *request, []*engine) *engine) policyRow {
	return policyRow{name, func(s *sim) policy { return newBaseline(s, choose) }}
}

// policyRows has the chosen policy at index 6, after those it is checked against.
var policyRows = []policyRow{
	baselineRow("random", random),
	baselineRow("round robin", roundRobin),
	baselineRow("least reported load", leastReported),
	baselineRow("plain rendezvous", rendezvous),
	baselineRow("a: local bounded rendezvous", localBound),
	baselineRow("b: two choices, reported+own", twoChoices),
	{"c: reservations (chosen)", func(s *sim) policy { return newReservationPolicy(s) }},
	baselineRow("all-knowing", oracle),
}

func runPolicy(d deployment, seed uint64, row policyRow, withSurge bool) *metrics {
	s := newSim(d, seed)
	s.policy = row.new(s)
	s.faults()
	c, isChosen := s.policy.(*reservationPolicy)
	if isChosen {
		c.faults()
	}
	s.run(d.requests(seed, withSurge))
	if isChosen {
		for _, n := range c.nodes {
			s.m.sentBytes = max(s.m.sentBytes, n.sentBytes)
		}
	}
	return &s.m
}

// checks holds the missed bounds.
type checks []string

func (c *checks) require(isMet bool, format string, values ...any) {
	if !isMet {
		*c = append(*c, fmt.Sprintf(format, values...))
	}
}

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

func printRow(d deployment, name string, m *metrics) {
	fmt.Printf("%-29s %6.1f%% %7.2f %6.2f %7d %7d %7.1f%% %9s %7d %7d %5d %6.0f\n", name,
		100*share(m.hit, m.reusable), m.worstRatio, percentile(m.ratios, 0.99), m.violations, m.lifted, 100*share(m.moved, m.returned),
		percentile(m.waits[false], 0.99).Round(100*time.Microsecond), m.refusedBound, m.refusedAccount, m.missingRetryAfter, float64(m.sentBytes)/d.length.Seconds())
}

func printHeader(d deployment) {
	fmt.Printf("\n%s: %d routers, %d engines, %d models, bound %.2f, reuse weight %.1f, lag %s\n", d.name, d.routers, d.engines, d.models, d.bound, d.reuse, d.lag)
	fmt.Printf("%-29s %7s %7s %6s %7s %7s %8s %9s %7s %7s %5s %6s\n", "policy", "reuse", "max/avg", "p99", "above", "lifted", "moved", "p99 wait", "bound", "account", "unhtd", "B/s")
}

// runTable prints one deployment and checks the chosen policy's row.
func runTable(d deployment, seed uint64, c *checks) {
	printHeader(d)
	rows := map[string]*metrics{}
	for _, row := range policyRows {
		rows[row.name] = runPolicy(d, seed, row, d.surgeAccount >= 0)
		printRow(d, row.name, rows[row.name])
	}
	chosen, oracle := rows[policyRows[6].name], rows["all-knowing"]
	where := fmt.Sprintf("%s at %.2f", d.name, d.bound)
	c.require(chosen.violations == 0, "%s: %d admissions above the bound", where, chosen.violations)
	c.require(chosen.refusedBound == 0, "%s: %d refused though a placement was feasible", where, chosen.refusedBound)
	c.require(chosen.missingRetryAfter == 0, "%s: refusals without a time to come back", where)
	reuse := share(chosen.hit, chosen.reusable)
	if d.reuse > 0.5 {
		c.require(reuse >= 0.95*share(oracle.hit, oracle.reusable), "%s: reuse %.3f below 95%% of the all-knowing", where, reuse)
	}
	for _, row := range policyRows[:6] {
		m := rows[row.name]
		c.require(m.violations > 0 || reuse >= share(m.hit, m.reusable), "%s: %s keeps the bound and reuses more", where, row.name)
	}
	if d.surgeAccount >= 0 {
		withoutSurge := runPolicy(d, seed, policyRows[6], false)
		printRow(d, "c without the surge", withoutSurge)
		with, without := percentile(chosen.waits[false], 0.99), percentile(withoutSurge.waits[false], 0.99)
		c.require(float64(with) <= 1.1*float64(without), "%s: p99 wait of others %s with the surge, %s without", where, with, without)
	}
}

// variations prints the chosen policy under different lags and router faults.
func variations(d deployment, seed uint64, c *checks) {
	d.bound = 1.25
	printHeader(d)
	for _, v := range []struct {
		name            string
		isBoundRequired bool
		change          func(*deployment)
	}{
		{"lag 0.5 s", true, func(d *deployment) { d.lag = 500 * time.Millisecond }},
		{"lag 5 s", false, func(d *deployment) { d.lag = 5 * time.Second }},
		{"routers with other lists", true, func(d *deployment) { d.mixedViews = true }},
		{"two routers killed", true, func(d *deployment) { d.crash = true }},
		{"a router cut off", false, func(d *deployment) { d.partition = true }},
	} {
		changed := d
		v.change(&changed)
		m := runPolicy(changed, seed, policyRows[6], false)
		printRow(changed, v.name, m)
		c.require(!v.isBoundRequired || m.violations == 0, "%s, %s: %d admissions above the bound", d.name, v.name, m.violations)
		c.require(m.missingRetryAfter == 0, "%s, %s: refusals without a time to come back", d.name, v.name)
	}
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the load and the faults")
	onlyLarge := flag.Bool("large", false, "skip the tables of the small deployments")
	flag.Parse()
	var missed checks
	for _, engines := range []int{12, 157, 1100} {
		measureDecisions(engines, &missed)
	}
	if !*onlyLarge {
		for _, bound := range []float64{1.25, 1.5} {
			molle, zhanibek := molle, zhanibek
			molle.bound, zhanibek.bound = bound, bound
			runTable(molle, *seed, &missed)
			runTable(zhanibek, *seed, &missed)
		}
		variations(molle, *seed, &missed)
		variations(zhanibek, *seed, &missed)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	printHeader(large)
	s := newSim(large, *seed)
	c := newReservationPolicy(s)
	s.policy = c
	s.run(large.requests(*seed, false))
	for _, n := range c.nodes {
		s.m.sentBytes = max(s.m.sentBytes, n.sentBytes)
	}
	total := 0
	for _, n := range c.nodes {
		total += n.sentBytes
	}
	mean := float64(total) / large.length.Seconds() / float64(large.routers)
	printRow(large, policyRows[6].name, &s.m)
	// Leaves mostly the routers' state on the heap.
	for _, e := range s.engines {
		e.clear()
	}
	s.events, s.lastEngine, s.seenPrefixes = virtual.Queue{}, nil, nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	perRouter := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / int64(large.routers)
	fmt.Printf("memory per router: %d KB\n", perRouter/1024)
	runtime.KeepAlive(c)
	missed.require(s.m.violations == 0, "large: %d admissions above the bound", s.m.violations)
	fmt.Printf("control bytes sent per second and router: mean %.0f\n", mean)
	missed.require(mean <= meanControlBytes, "large: %.0f control bytes/s and router", mean)
	worst := float64(s.m.sentBytes) / large.length.Seconds()
	missed.require(worst <= maxControlBytes, "large: a router sends %.0f control bytes/s", worst)
	for _, miss := range missed {
		fmt.Println("MISSED", miss)
	}
	if len(missed) > 0 {
		os.Exit(1)
	}
}
