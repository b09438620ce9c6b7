package check

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"gentianhead/core/version/routetable"
)

// Rules about a routetable.Spec.
const (
	RuleInvalid           Rule = "invalid"
	RuleSkipped           Rule = "skipped-value"
	RuleHiddenRoute       Rule = "hidden-route"
	RuleNoHost            Rule = "route-without-host"
	RuleUnknownService    Rule = "unknown-service"
	RuleUnusedService     Rule = "unused-service"
	RuleNoShare           Rule = "target-without-share"
	RuleDeclaredTwice     Rule = "declared-twice"
	RuleNoSecret          Rule = "account-without-secret"
	RuleSecretTwice       Rule = "secret-held-twice"
	RuleNoAccess          Rule = "no-access"
	RuleShortTimeout      Rule = "timeout-under-target"
	RuleHeaderOverBody    Rule = "header-limit-over-body-limit"
	RuleAttempts          Rule = "attempts-over-retry-budget"
	RuleColdRate          Rule = "cold-rate-without-share"
	RuleNoHomes           Rule = "homes-without-endpoints"
	RuleUnknownRegion     Rule = "unknown-region"
	RuleAllZonesEvacuated Rule = "all-zones-evacuated"
)

// Table returns the findings about a version.
func Table(spec routetable.Spec, environment Environment) []Finding {
	c := &tableCheck{spec: spec, environment: environment, services: make(map[string]bool, len(spec.Services))}
	for _, skipped := range spec.Skipped {
		c.report(Warning, RuleSkipped, "configuration", "", "", "", skipped)
	}
	c.checkServices()
	c.checkRoutes()
	c.checkAccounts()
	c.checkLimits()
	c.checkZones()
	return c.findings
}

type tableCheck struct {
	spec        routetable.Spec
	environment Environment
	findings    []Finding
	// services are the declared services, with whether a route uses them.
	services map[string]bool
}

func (c *tableCheck) report(severity Severity, rule Rule, place, field, value, allowed, effect string) {
	c.findings = append(c.findings, Finding{
		Severity: severity, Rule: rule, Place: place, Field: field, Value: value, Allowed: allowed, Effect: effect,
	})
}

// checkSign reports a negative number.
func checkSign[N int | int64 | time.Duration](c *tableCheck, place, field string, number N) {
	if number < 0 {
		c.report(Error, RuleInvalid, place, field, fmt.Sprint(number), "0 or more", "")
	}
}

func servicePlace(name string) string { return "service " + strconv.Quote(name) }

func accountPlace(name string) string { return "account " + strconv.Quote(name) }

// RoutePlace returns the place of the route at an index. Names of routes need not be unique.
func RoutePlace(index int, name string) string {
	return fmt.Sprintf("route %d %q", index+1, name)
}

func (c *tableCheck) checkServices() {
	for _, service := range c.spec.Services {
		place := servicePlace(service.Name)
		if _, isDeclared := c.services[service.Name]; isDeclared {
			c.report(Error, RuleDeclaredTwice, place, "Name", service.Name, "a name that no other service has", "only the last of them is used")
		}
		c.services[service.Name] = false
		if service.Engine != nil {
			checkSign(c, place, "Slots", service.Engine.Slots)
		}
		if rate := c.environment.ColdRate; rate != nil && service.ColdPerSecond > 0 && rate(service.ColdPerSecond) <= 0 {
			c.report(Warning, RuleColdRate, place, "ColdPerSecond", fmt.Sprint(service.ColdPerSecond), "a rate whose bound with overage and tolerance is at least 1 request per second",
				"its endpoints get no request while they are cold")
		}
	}
}

func (c *tableCheck) checkRoutes() {
	first := make(map[routeKey]int, len(c.spec.Routes))
	for i := range c.spec.Routes {
		route := &c.spec.Routes[i]
		place := RoutePlace(i, route.Name)
		for _, fault := range route.Faults() {
			c.report(Error, RuleInvalid, place, fault.Field, fault.Value, fault.Allowed, "routers refuse the whole configuration")
		}
		k := keyOf(route)
		if k.host == "" {
			c.report(Warning, RuleNoHost, place, "Host", "", "the name of a host", "the route matches only requests that name no host")
		}
		// Of prefixes of different length each is the longest for some path, so only an equal one
		// hides a route.
		if earlier, isHidden := first[k]; isHidden {
			c.report(Error, RuleHiddenRoute, place, "Prefix", route.Prefix, "a host and prefix that no earlier route has",
				"all its requests go to "+RoutePlace(earlier, c.spec.Routes[earlier].Name))
		} else {
			first[k] = i
		}
		c.checkTargets(place, route)
		c.checkRouteLimits(place, route)
		c.checkHomes(place, route.Homes)
	}
	for _, service := range c.spec.Services {
		if !c.services[service.Name] {
			c.report(Warning, RuleUnusedService, servicePlace(service.Name), "", "", "a service that a route names", "it gets no request")
			c.services[service.Name] = true
		}
	}
}

func (c *tableCheck) checkTargets(place string, route *routetable.Route) {
	for _, target := range route.Targets {
		_, isDeclared := c.services[target.Service]
		switch {
		case !isDeclared && target.Weight > 0:
			c.report(Error, RuleUnknownService, place, "Targets", target.Service, "a declared service", "requests of its share are refused")
		case !isDeclared:
			c.report(Warning, RuleUnknownService, place, "Targets", target.Service, "a declared service", "it has weight 0 and gets no request")
		default:
			c.services[target.Service] = true
			if target.Weight == 0 {
				c.report(Warning, RuleNoShare, place, "Targets", target.Service, "a positive weight", "the service gets no request of the route")
			}
		}
	}
}

func (c *tableCheck) checkRouteLimits(place string, route *routetable.Route) {
	checkSign(c, place, "Timeout", route.Timeout)
	checkSign(c, place, "TargetLatency", route.TargetLatency)
	if route.Timeout > 0 && route.Timeout < route.TargetLatency {
		c.report(Error, RuleShortTimeout, place, "Timeout", route.Timeout.String(), "at least the target latency of "+route.TargetLatency.String(),
			"requests are ended before their target")
	}
	if most := c.environment.MaxRetries; most >= 0 && route.MaxAttempts-1 > most {
		c.report(Warning, RuleAttempts, place, "MaxAttempts", strconv.Itoa(route.MaxAttempts), fmt.Sprintf("at most %d, as the retry budget never gives a request more retries", most+1),
			"requests are refused after fewer attempts")
	}
}

func (c *tableCheck) checkAccounts() {
	// holders are the indices of the accounts with each secret.
	holders := make(map[string]int)
	names := make(map[string]bool, len(c.spec.Accounts))
	for i, account := range c.spec.Accounts {
		name := account.Account.Name
		place := accountPlace(name)
		if names[name] {
			c.report(Warning, RuleDeclaredTwice, place, "Name", name, "a name that no other account has", "both count as one account")
		}
		names[name] = true
		usable := 0
		for _, secret := range account.Secrets {
			earlier, isHeld := holders[secret]
			switch {
			case secret == "":
				c.report(Error, RuleInvalid, place, "Secrets", "", "secrets that are not empty", "the empty secret is ignored")
				continue
			case isHeld && earlier == i:
				c.report(Warning, RuleSecretTwice, place, "Secrets", "", "each secret once", "")
			case isHeld:
				c.report(Error, RuleSecretTwice, place, "Secrets", "", "secrets that no other account has",
					"callers with a secret of "+accountPlace(c.spec.Accounts[earlier].Account.Name)+" are taken for this account")
			}
			holders[secret] = i
			usable++
		}
		if usable == 0 {
			c.report(Warning, RuleNoSecret, place, "Secrets", "", "at least one secret", "no caller can use the account")
		}
		c.checkHomes(place, account.Account.Homes)
	}
	c.checkAccess(len(holders) > 0)
	c.checkSharedHomes()
}

// checkAccess reports that no caller can use any route.
func (c *tableCheck) checkAccess(hasSecret bool) {
	isRequired := c.spec.RequiresAccount || len(c.spec.Accounts) > 0
	isClosed := func(route routetable.Route) bool { return !route.IsAnonymous }
	if isRequired && !hasSecret && slices.ContainsFunc(c.spec.Routes, isClosed) {
		c.report(Error, RuleNoAccess, "configuration", "Accounts", "", "at least one account with a secret", "all requests to routes that aren't anonymous are refused with 401")
	}
}

// checkHomes reports homes that allow no endpoint that gets requests.
func (c *tableCheck) checkHomes(place string, homes routetable.Homes) {
	const refused = "its requests are refused with 503"
	if !homes.IsRestricted() {
		return
	}
	if len(homes) == 0 {
		c.report(Warning, RuleNoHomes, place, "Homes", "[]", "at least one region", refused)
		return
	}
	if c.environment.Regions == nil {
		return
	}
	zones, evacuated := 0, 0
	for zone, region := range c.environment.Regions {
		if homes.Allows(region) {
			zones++
			if slices.Contains(c.environment.Evacuated, zone) {
				evacuated++
			}
		}
	}
	known := slices.Compact(slices.Sorted(maps.Values(c.environment.Regions)))
	for _, region := range homes {
		if !slices.Contains(known, region) {
			c.report(Warning, RuleUnknownRegion, place, "Homes", region, "one of "+strings.Join(known, ", "), "the region allows no endpoint")
		}
	}
	switch {
	case zones == 0:
		c.report(Error, RuleNoHomes, place, "Homes", strings.Join(homes, ", "), "at least one of "+strings.Join(known, ", "), refused)
	case zones == evacuated:
		c.report(Error, RuleAllZonesEvacuated, place, "Homes", strings.Join(homes, ", "), "a region with a zone that isn't evacuated", refused)
	}
}

// checkSharedHomes reports accounts whose homes have no region in common with any route.
func (c *tableCheck) checkSharedHomes() {
	distinct := make(map[string]routetable.Homes)
	for _, route := range c.spec.Routes {
		if !route.Homes.IsRestricted() {
			return
		}
		if len(route.Homes) > 0 {
			distinct[strings.Join(route.Homes, "\x00")] = route.Homes
		}
	}
	if len(distinct) == 0 {
		return
	}
	for _, account := range c.spec.Accounts {
		homes := account.Account.Homes
		isAllowed := len(homes) == 0
		for _, route := range distinct {
			isAllowed = isAllowed || len(homes.And(route)) > 0
		}
		if !isAllowed {
			c.report(Error, RuleNoHomes, accountPlace(account.Account.Name), "Homes", strings.Join(homes, ", "), "a region that a route allows too", "its requests are refused with 503 on every route")
		}
	}
}

func (c *tableCheck) checkLimits() {
	limits := c.spec.Limits
	checkSign(c, "limits", "HeaderBytes", limits.HeaderBytes)
	checkSign(c, "limits", "BodyBytes", limits.BodyBytes)
	checkSign(c, "limits", "HeaderTimeout", limits.HeaderTimeout)
	checkSign(c, "limits", "IdleTimeout", limits.IdleTimeout)
	if limits.BodyBytes > 0 && int64(limits.HeaderBytes) > limits.BodyBytes {
		c.report(Error, RuleHeaderOverBody, "limits", "HeaderBytes", strconv.Itoa(limits.HeaderBytes), fmt.Sprintf("at most the limit of bodies, %d", limits.BodyBytes), "")
	}
}

func (c *tableCheck) checkZones() {
	if len(c.environment.Regions) == 0 {
		return
	}
	for zone := range c.environment.Regions {
		if !slices.Contains(c.environment.Evacuated, zone) {
			return
		}
	}
	c.report(Error, RuleAllZonesEvacuated, "zones", "", strings.Join(slices.Sorted(maps.Keys(c.environment.Regions)), ", "), "at least one zone that isn't evacuated", "all requests are refused with 503")
}
