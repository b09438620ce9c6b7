package check

import (
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"

	"gentianhead/core/version/resource"
)

// Rules about resources. Others are shared with tables.
const (
	RuleUndeclared   Rule = "undeclared"
	RuleNoEndpoint   Rule = "without-endpoint"
	RuleHiddenPath   Rule = "hidden-path"
	RuleSameURL      Rule = "url-declared-twice"
	RuleAccountShare Rule = "rate-without-share"
)

// minAccountRate is the rate in requests per second below which the share of a router lets no
// request through between two retries of a refused caller, which are at most a minute apart.
const minAccountRate = 1.0 / 60

// Resources returns the findings about documents that are applied in order onto base, which may
// be empty. Only the documents and what they change are judged; base is what they refer to.
func Resources(base *resource.Snapshot, objects []resource.Object, environment Environment) []Finding {
	c := &resourceCheck{environment: environment, after: withObjects(base, objects)}
	declared := make(map[resource.Key]bool, len(objects))
	for _, object := range objects {
		place := objectPlace(object.Key())
		for _, fault := range object.Faults() {
			c.report(Error, RuleInvalid, place, fault.Field, fault.Value, fault.Allowed, "the document is refused")
		}
		if declared[object.Key()] {
			c.report(Error, RuleDeclaredTwice, place, "name", object.Name, "each resource once", "only the last document counts")
		}
		declared[object.Key()] = true
		for _, warning := range c.after.Warnings(object) {
			c.report(Warning, RuleUndeclared, place, "", "", "declared models and services", warning)
		}
	}
	c.checkAccounts(declared)
	c.checkEndpoints(declared)
	c.checkServed(base, declared)
	c.checkPaths(declared)
	return c.findings
}

// withObjects returns the resources after objects were applied onto base.
func withObjects(base *resource.Snapshot, objects []resource.Object) *resource.Snapshot {
	return resource.NewSnapshot(base.Revision(), slices.Concat(base.List(""), objects))
}

type resourceCheck struct {
	environment Environment
	after       *resource.Snapshot
	findings    []Finding
}

func (c *resourceCheck) report(severity Severity, rule Rule, place, field, value, allowed, effect string) {
	c.findings = append(c.findings, Finding{
		Severity: severity, Rule: rule, Place: place, Field: field, Value: value, Allowed: allowed, Effect: effect,
	})
}

func objectPlace(key resource.Key) string {
	return string(key.Kind) + " " + strconv.Quote(key.Name)
}

// checkAccounts reports tokens of two accounts, of which a declared one is the second to be
// written, and rates that let nothing through.
func (c *resourceCheck) checkAccounts(declared map[resource.Key]bool) {
	holders := make(map[string]resource.Object)
	for _, o := range c.after.List(resource.KindAccount) {
		if o.Account == nil {
			continue
		}
		earlier, isHeld := holders[o.Account.TokenSHA256]
		holders[o.Account.TokenSHA256] = o
		if isHeld && o.Account.TokenSHA256 != "" && (declared[o.Key()] || declared[earlier.Key()]) {
			c.report(Error, RuleSecretTwice, objectPlace(o.Key()), "clientAccount.tokenSha256", "", "a token that no other account has",
				"the document is refused, as "+objectPlace(earlier.Key())+" has the same token")
		}
		if rate := o.Account.RequestsPerSecond; declared[o.Key()] && rate > 0 && rate < minAccountRate {
			c.report(Warning, RuleAccountShare, objectPlace(o.Key()), "clientAccount.requestsPerSecond", fmt.Sprint(rate), "0 (no limit), or at least one request a minute",
				"after a few requests nearly all of the account's requests are refused")
		}
	}
}

func (c *resourceCheck) checkEndpoints(declared map[resource.Key]bool) {
	zones := make(map[string]bool)
	byURL := make(map[string]resource.Object)
	isAnyLeft := false
	for _, o := range c.after.List(resource.KindEndpoint) {
		if o.Endpoint == nil {
			continue
		}
		earlier, isHeld := byURL[o.Endpoint.URL]
		byURL[o.Endpoint.URL] = o
		if isHeld && (declared[o.Key()] || declared[earlier.Key()]) {
			c.report(Warning, RuleSameURL, objectPlace(o.Key()), "endpoint.url", o.Endpoint.URL, "a URL that no other endpoint has",
				objectPlace(earlier.Key())+" is the same server, which gets the requests of two")
		}
		if !o.Endpoint.Withdrawn {
			zones[o.Endpoint.Zone] = true
			isAnyLeft = isAnyLeft || !slices.Contains(c.environment.Evacuated, o.Endpoint.Zone)
		}
	}
	if len(zones) > 0 && !isAnyLeft {
		c.report(Error, RuleAllZonesEvacuated, "zones", "", strings.Join(c.environment.Evacuated, ", "), "at least one zone with endpoints that isn't evacuated", "all requests are refused with 503")
	}
}

// checkServed reports models and services without an endpoint that gets requests, if they are
// declared or lose their last one.
func (c *resourceCheck) checkServed(base *resource.Snapshot, declared map[resource.Key]bool) {
	before, after := servedBy(base), servedBy(c.after)
	for _, o := range c.after.List("") {
		isServable := o.Kind == resource.KindModel || o.Kind == resource.KindService
		if isServable && (declared[o.Key()] || before[o.Key()]) && !after[o.Key()] {
			c.report(Warning, RuleNoEndpoint, objectPlace(o.Key()), "", "", "an endpoint that serves it and isn't withdrawn", "its requests are refused with 503")
		}
	}
}

// servedBy returns the models and services with an endpoint that isn't withdrawn.
func servedBy(snapshot *resource.Snapshot) map[resource.Key]bool {
	served := make(map[resource.Key]bool)
	for _, o := range snapshot.List(resource.KindEndpoint) {
		if o.Endpoint == nil || o.Endpoint.Withdrawn {
			continue
		}
		for _, model := range o.Endpoint.Models {
			served[resource.Key{Kind: resource.KindModel, Name: model}] = true
		}
		for _, service := range o.Endpoint.Services {
			served[resource.Key{Kind: resource.KindService, Name: service}] = true
		}
	}
	return served
}

// checkPaths reports paths that another entry of the same service includes.
func (c *resourceCheck) checkPaths(declared map[resource.Key]bool) {
	for _, o := range c.after.List(resource.KindService) {
		if o.Service == nil || !declared[o.Key()] {
			continue
		}
		paths := o.Service.NonIdempotent
		for i, entry := range paths {
			isHidden := false
			for j, other := range paths {
				// Of entries that include each other, the first counts.
				isHidden = isHidden || i != j && includes(other, entry) && (j < i || !includes(entry, other))
			}
			if isHidden {
				c.report(Warning, RuleHiddenPath, objectPlace(o.Key()), "service.nonIdempotent", entry, "paths that no other entry includes", "the entry has no effect")
			}
		}
	}
}

// includes reports whether a pattern matches every path that another pattern matches.
func includes(pattern, other string) bool {
	if strings.HasSuffix(other, "*") {
		return strings.HasSuffix(pattern, "*") && resource.MatchesPath(pattern, other)
	}
	clean := path.Clean(other)
	return resource.MatchesPath(pattern, clean) && resource.MatchesPath(pattern, clean+"/")
}
