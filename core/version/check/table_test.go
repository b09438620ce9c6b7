package check

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/version/routetable"
)

// validSpec returns a version without findings.
func validSpec() routetable.Spec {
	route := func(name, prefix, service string) routetable.Route {
		return routetable.Route{
			Name: name, Host: "a.example", Prefix: prefix, Targets: []routetable.Target{{Service: service, Weight: 1}},
			Timeout: 2 * time.Second, TargetLatency: time.Second, MaxAttempts: 2,
		}
	}
	return routetable.Spec{
		Version:  1,
		Routes:   []routetable.Route{route("all", "/", "plain"), route("drafts", "/drafts/", "pool")},
		Services: []routetable.Service{{Name: "plain"}, {Name: "pool", Engine: &routetable.Engine{Slots: 16}, ColdPerSecond: 2}},
		Accounts: []routetable.Credentials{
			{Account: routetable.Account{Name: "mill"}, Secrets: []string{"secret-1", "secret-2"}},
			{Account: routetable.Account{Name: "farm"}, Secrets: []string{"secret-3"}},
		},
		RequiresAccount: true,
		Limits:          routetable.Limits{HeaderBytes: 1000, BodyBytes: 2000, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

func testEnvironment() Environment {
	return Environment{
		Regions: map[string]string{"zone-1": "north", "zone-2": "south"}, Evacuated: []string{"zone-2"}, MaxRetries: 1,
		ColdRate: func(perSecond float64) float64 { return perSecond - 1 },
	}
}

func identity(f Finding) [3]string {
	return [3]string{string(f.Severity), string(f.Rule), f.Place}
}

// Guards against a rule that finds nothing, or that finds something in a configuration that only
// breaks another rule.
func TestTableRules(t *testing.T) {
	assert.Equal(t, len(Table(validSpec(), testEnvironment())), 0)
	for name, c := range map[string]struct {
		rule     Rule
		severity Severity
		place    string
		breaks   func(*routetable.Spec)
	}{
		"prefix": {RuleInvalid, Error, `route 2 "drafts"`, func(s *routetable.Spec) { s.Routes[1].Prefix = "/drafts" }},
		"negative weight": {RuleInvalid, Error, `route 2 "drafts"`, func(s *routetable.Spec) {
			s.Routes[1].Targets = append(s.Routes[1].Targets, routetable.Target{Service: "plain", Weight: -2})
		}},
		"negative timeout": {RuleInvalid, Error, `route 1 "all"`, func(s *routetable.Spec) { s.Routes[0].Timeout = -1 }},
		"negative target":  {RuleInvalid, Error, `route 1 "all"`, func(s *routetable.Spec) { s.Routes[0].TargetLatency = -1 }},
		"negative limit":   {RuleInvalid, Error, "limits", func(s *routetable.Spec) { s.Limits.BodyBytes = -1 }},
		"negative slots":   {RuleInvalid, Error, `service "pool"`, func(s *routetable.Spec) { s.Services[1].Engine.Slots = -1 }},
		"empty secret":     {RuleInvalid, Error, `account "mill"`, func(s *routetable.Spec) { s.Accounts[0].Secrets[1] = "" }},
		"skipped":          {RuleSkipped, Warning, "configuration", func(s *routetable.Spec) { s.Skipped = []string{"a value"} }},
		"hidden":           {RuleHiddenRoute, Error, `route 2 "drafts"`, func(s *routetable.Spec) { s.Routes[1].Host, s.Routes[1].Prefix = "A.example:80", "/" }},
		"no host":          {RuleNoHost, Warning, `route 2 "drafts"`, func(s *routetable.Spec) { s.Routes[1].Host = "" }},
		"unknown service": {RuleUnknownService, Error, `route 1 "all"`, func(s *routetable.Spec) {
			s.Routes[0].Targets = append(s.Routes[0].Targets, routetable.Target{Service: "plane", Weight: 1})
		}},
		"unknown, no weight": {RuleUnknownService, Warning, `route 1 "all"`, func(s *routetable.Spec) {
			s.Routes[0].Targets = append(s.Routes[0].Targets, routetable.Target{Service: "plane"})
		}},
		"unused service": {RuleUnusedService, Warning, `service "other"`, func(s *routetable.Spec) { s.Services = append(s.Services, routetable.Service{Name: "other"}) }},
		"no share": {RuleNoShare, Warning, `route 1 "all"`, func(s *routetable.Spec) {
			s.Routes[0].Targets = append(s.Routes[0].Targets, routetable.Target{Service: "pool"})
		}},
		"service twice":      {RuleDeclaredTwice, Error, `service "plain"`, func(s *routetable.Spec) { s.Services = append(s.Services, routetable.Service{Name: "plain"}) }},
		"account twice":      {RuleDeclaredTwice, Warning, `account "mill"`, func(s *routetable.Spec) { s.Accounts[1].Account.Name = "mill" }},
		"no secret":          {RuleNoSecret, Warning, `account "farm"`, func(s *routetable.Spec) { s.Accounts[1].Secrets = nil }},
		"secret of two":      {RuleSecretTwice, Error, `account "farm"`, func(s *routetable.Spec) { s.Accounts[1].Secrets[0] = "secret-1" }},
		"secret twice":       {RuleSecretTwice, Warning, `account "mill"`, func(s *routetable.Spec) { s.Accounts[0].Secrets[1] = "secret-1" }},
		"no access":          {RuleNoAccess, Error, "configuration", func(s *routetable.Spec) { s.Accounts = nil }},
		"short timeout":      {RuleShortTimeout, Error, `route 1 "all"`, func(s *routetable.Spec) { s.Routes[0].Timeout = time.Millisecond }},
		"header limit":       {RuleHeaderOverBody, Error, "limits", func(s *routetable.Spec) { s.Limits.HeaderBytes = 2001 }},
		"attempts":           {RuleAttempts, Warning, `route 1 "all"`, func(s *routetable.Spec) { s.Routes[0].MaxAttempts = 3 }},
		"cold rate":          {RuleColdRate, Warning, `service "pool"`, func(s *routetable.Spec) { s.Services[1].ColdPerSecond = 0.5 }},
		"no homes":           {RuleNoHomes, Warning, `route 1 "all"`, func(s *routetable.Spec) { s.Routes[0].Homes = routetable.Homes{} }},
		"unknown region":     {RuleUnknownRegion, Warning, `account "mill"`, func(s *routetable.Spec) { s.Accounts[0].Account.Homes = routetable.Homes{"north", "west"} }},
		"evacuated homes":    {RuleAllZonesEvacuated, Error, `account "mill"`, func(s *routetable.Spec) { s.Accounts[0].Account.Homes = routetable.Homes{"south"} }},
		"homes in no common": {RuleNoHomes, Error, `account "mill"`, func(s *routetable.Spec) { separateHomes(s) }},
	} {
		t.Run(name, func(t *testing.T) {
			spec, environment := validSpec(), testEnvironment()
			if name == "homes in no common" {
				environment.Evacuated = nil
			}
			c.breaks(&spec)
			findings := Table(spec, environment)
			assert.Equal(t, len(findings), 1, "%+v", findings)
			assert.Equal(t, findings[0].Severity, c.severity)
			assert.Equal(t, findings[0].Place, c.place)
		})
	}
}

func separateHomes(s *routetable.Spec) {
	s.Routes[0].Homes, s.Routes[1].Homes = routetable.Homes{"north"}, routetable.Homes{"north"}
	s.Accounts[0].Account.Homes = routetable.Homes{"south"}
}

// Guards against a region without zones that passes beside an unknown one, and against an
// evacuation of all zones that nothing reports.
func TestTableZones(t *testing.T) {
	spec, environment := validSpec(), testEnvironment()
	environment.Evacuated = []string{"zone-1", "zone-2"}
	findings := Table(spec, environment)
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Rule, RuleAllZonesEvacuated)
	spec.Routes[0].Homes = routetable.Homes{"west"}
	findings = Table(spec, testEnvironment())
	assert.Equal(t, len(findings), 2)
	assert.Equal(t, findings[1].Rule, RuleNoHomes)
	assert.Equal(t, findings[1].Severity, Error)
}

// Guards against a change that callers notice and that isn't described, and against one that is
// described beside another.
func TestTableChanges(t *testing.T) {
	priority := 1
	for name, c := range map[string]struct {
		rule    Rule
		place   string
		effect  string
		changes func(*routetable.Spec)
	}{
		"route removed": {RuleRouting, `route 2 "drafts"`, `requests to a.example/drafts/ go to route "all", to "plain"`, func(s *routetable.Spec) { s.Routes = s.Routes[:1] }},
		"no route left": {RuleAccess, `route 1 "all"`, "requests to a.example/ are refused with 404", func(s *routetable.Spec) { s.Routes = s.Routes[1:] }},
		"new route": {RuleAccess, `route 3 ""`, "refused with 404", func(s *routetable.Spec) {
			s.Routes = append(s.Routes, routetable.Route{Host: "b.example", Prefix: "/", Targets: s.Routes[0].Targets})
		}},
		"targets": {RuleRouting, `route 1 "all"`, "other services", func(s *routetable.Spec) {
			s.Routes[0].Targets = []routetable.Target{{Service: "plain", Weight: 3}, {Service: "pool", Weight: 1}}
		}},
		"kind":           {RuleRepetition, `route 1 "all"`, "possibly more than once", func(s *routetable.Spec) { s.Routes[0].Kind = routetable.Idempotent }},
		"anonymous":      {RuleAccess, `route 1 "all"`, "get access", func(s *routetable.Spec) { s.Routes[0].IsAnonymous = true }},
		"timeout":        {RuleLimit, `route 1 "all"`, "the longest duration of a request falls", func(s *routetable.Spec) { s.Routes[0].Timeout = time.Second }},
		"attempts":       {RuleLimit, `route 1 "all"`, "rises", func(s *routetable.Spec) { s.Routes[0].MaxAttempts = 3 }},
		"priority":       {RuleOrder, `route 1 "all"`, "refused earlier", func(s *routetable.Spec) { s.Routes[0].Priority = 1 }},
		"homes":          {RuleRegions, `route 1 "all"`, "endpoints of north only", func(s *routetable.Spec) { s.Routes[0].Homes = routetable.Homes{"north"} }},
		"service":        {RuleServiceSetup, `service "plain"`, "get no request", func(s *routetable.Spec) { s.Services = s.Services[1:] }},
		"cold rate":      {RuleLimit, `service "pool"`, "no limit applies again", func(s *routetable.Spec) { s.Services[1].ColdPerSecond = 0 }},
		"secret removed": {RuleAccess, `account "mill"`, "1 of its 2 secrets lose access", func(s *routetable.Spec) { s.Accounts[0].Secrets = []string{"secret-2"} }},
		"account gone":   {RuleAccess, `account "farm"`, "1 of its 1 secrets lose access", func(s *routetable.Spec) { s.Accounts = s.Accounts[:1] }},
		"secret added":   {RuleAccess, `account "farm"`, "secrets added to it (1) get access", func(s *routetable.Spec) { s.Accounts[1].Secrets = append(s.Accounts[1].Secrets, "secret-4") }},
		"secret moved":   {RuleAccess, `account "mill"`, `count as account "farm"`, func(s *routetable.Spec) { s.Accounts[1].Secrets = append(s.Accounts[1].Secrets, "secret-1") }},
		"account's rank": {RuleOrder, `account "mill"`, "instead of their route's", func(s *routetable.Spec) { s.Accounts[0].Account.Priority = &priority }},
		"limits":         {RuleLimit, "limits", "the size of a request's body falls", func(s *routetable.Spec) { s.Limits.BodyBytes = 1500 }},
	} {
		t.Run(name, func(t *testing.T) {
			next := validSpec()
			next.Version = 2
			c.changes(&next)
			findings, err := TableChanges(validSpec(), next)
			assert.NilError(t, err)
			assert.Equal(t, len(findings), 1, "%+v", findings)
			assert.Equal(t, identity(findings[0]), [3]string{string(Change), string(c.rule), c.place})
			assert.Assert(t, strings.Contains(findings[0].Effect, c.effect), findings[0].Effect)

			next.Version = 1
			findings, err = TableChanges(validSpec(), next)
			assert.NilError(t, err)
			assert.Equal(t, findings[len(findings)-1].Rule, RuleVersion, "a version that routers ignore")
		})
	}
	findings, err := TableChanges(validSpec(), validSpec())
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 0)
	_, err = TableChanges(validSpec(), routetable.Spec{Routes: []routetable.Route{{}}})
	assert.ErrorContains(t, err, "version to check")
}

// Guards against differences that are described by another route than the one that serves.
func TestRouteIndexAgreesWithTable(t *testing.T) {
	prefixes := []string{"/", "//", "/a/", "/a/b/", "/a//b/", "/a/b/c/", "/ab/", "/b/a/"}
	for chosen := range 1 << len(prefixes) {
		spec := validSpec()
		spec.Routes = append(spec.Routes[:0:0], spec.Routes[1], spec.Routes[1])
		for i, prefix := range prefixes {
			if chosen&(1<<i) != 0 {
				route := validSpec().Routes[0]
				route.Prefix = prefix
				spec.Routes = append(spec.Routes, route)
			}
		}
		table, err := routetable.New(spec)
		assert.NilError(t, err)
		for _, prefix := range prefixes {
			want, _ := table.Match("A.example:80", prefix)
			got, _ := newRouteIndex(spec.Routes).match(&routetable.Route{Host: "A.example:80", Prefix: prefix})
			assert.Assert(t, got == want, "%s in %d", prefix, chosen)
		}
	}
}

// manyRoutes returns a version with routes of a number of hosts.
func manyRoutes(count, hosts int) routetable.Spec {
	spec := validSpec()
	for i := range count {
		route := spec.Routes[i%2]
		route.Name, route.Host, route.Prefix = fmt.Sprint("route-", i), fmt.Sprintf("h%d.example", i%hosts), fmt.Sprintf("/p%d/", i)
		spec.Routes = append(spec.Routes, route)
	}
	return spec
}

// Guards against a check whose time grows with the square of the number of routes.
func BenchmarkTable10000Routes(b *testing.B) {
	for _, hosts := range []int{100, 1} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			old, next := manyRoutes(10000, hosts), manyRoutes(10000, hosts)
			for i := range next.Routes {
				next.Routes[i].Timeout += time.Duration(i)
			}
			for b.Loop() {
				_ = Table(next, testEnvironment())
				if _, err := TableChanges(old, next); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
