package check

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/core/version/resource"
)

// validObjects returns resources without findings.
func validObjects() []resource.Object {
	return []resource.Object{
		{Kind: resource.KindModel, Name: "m", Model: &resource.Model{}},
		{Kind: resource.KindService, Name: "s", Service: &resource.Service{NonIdempotent: []string{"/a/*", "/b"}}},
		{Kind: resource.KindAccount, Name: "mill", Account: &resource.Account{TokenSHA256: strings.Repeat("a", 64), RequestsPerSecond: 5}},
		{Kind: resource.KindEndpoint, Name: "e-1", Endpoint: &resource.Endpoint{URL: "http://10.0.0.1:80", Zone: "zone-1", Models: []string{"m"}}},
		{Kind: resource.KindEndpoint, Name: "e-2", Endpoint: &resource.Endpoint{URL: "http://10.0.0.2:80", Zone: "zone-2", Services: []string{"s"}}},
	}
}

func emptySnapshot() *resource.Snapshot { return resource.NewSnapshot(0, nil) }

// Guards against a rule that finds nothing, or that finds something in resources that only break
// another rule.
func TestResourceRules(t *testing.T) {
	assert.Equal(t, len(Resources(emptySnapshot(), validObjects(), DefaultEnvironment())), 0)
	for name, c := range map[string]struct {
		rule      Rule
		severity  Severity
		place     string
		evacuated string
		breaks    func([]resource.Object) []resource.Object
	}{
		"invalid":     {RuleInvalid, Error, `model "m"`, "", func(o []resource.Object) []resource.Object { o[0].Model.LoadBound = 0.5; return o }},
		"twice":       {RuleDeclaredTwice, Error, `model "m"`, "", func(o []resource.Object) []resource.Object { return append(o, o[0]) }},
		"undeclared":  {RuleUndeclared, Warning, `endpoint "e-1"`, "", func(o []resource.Object) []resource.Object { o[3].Endpoint.Models = []string{"m", "n"}; return o }},
		"no endpoint": {RuleNoEndpoint, Warning, `service "s"`, "", func(o []resource.Object) []resource.Object { o[4].Endpoint.Withdrawn = true; return o }},
		"one token": {RuleSecretTwice, Error, `client-account "mill"`, "", func(o []resource.Object) []resource.Object {
			return append(o, resource.Object{Kind: resource.KindAccount, Name: "farm", Account: o[2].Account})
		}},
		"rate": {RuleAccountShare, Warning, `client-account "mill"`, "", func(o []resource.Object) []resource.Object { o[2].Account.RequestsPerSecond = 0.01; return o }},
		"url":  {RuleSameURL, Warning, `endpoint "e-2"`, "", func(o []resource.Object) []resource.Object { o[4].Endpoint.URL = o[3].Endpoint.URL; return o }},
		"path": {RuleHiddenPath, Warning, `service "s"`, "", func(o []resource.Object) []resource.Object {
			o[1].Service.NonIdempotent = append(o[1].Service.NonIdempotent, "/a/x")
			return o
		}},
		"path twice": {RuleHiddenPath, Warning, `service "s"`, "", func(o []resource.Object) []resource.Object {
			o[1].Service.NonIdempotent = append(o[1].Service.NonIdempotent, "/b/")
			return o
		}},
		"evacuated": {RuleAllZonesEvacuated, Error, "zones", "zone-1,zone-2", func(o []resource.Object) []resource.Object { return o }},
	} {
		t.Run(name, func(t *testing.T) {
			environment := DefaultEnvironment()
			environment.Evacuated = strings.Split(c.evacuated, ",")
			findings := Resources(emptySnapshot(), c.breaks(validObjects()), environment)
			assert.Equal(t, len(findings), 1, "%+v", findings)
			assert.Equal(t, identity(findings[0]), [3]string{string(c.severity), string(c.rule), c.place})
		})
	}
}

// Guards against documents that are judged without the resources that stay in force.
func TestResourcesOntoBase(t *testing.T) {
	base := resource.NewSnapshot(7, validObjects())
	added := validObjects()[3]
	added.Name, added.Endpoint.URL = "e-3", "http://10.0.0.3:80"
	assert.Equal(t, len(Resources(base, []resource.Object{added}, DefaultEnvironment())), 0)
	withdrawn := validObjects()[4]
	withdrawn.Endpoint.Withdrawn = true
	findings := Resources(base, []resource.Object{withdrawn}, DefaultEnvironment())
	assert.Equal(t, len(findings), 1, "a service loses its last endpoint")
	assert.Equal(t, findings[0].Rule, RuleNoEndpoint)
	taken := validObjects()[2]
	taken.Name = "farm"
	findings = Resources(base, []resource.Object{taken}, DefaultEnvironment())
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Rule, RuleSecretTwice)
}

// Guards against a change that callers notice and that isn't described, and against one that is
// described beside another.
func TestResourceChanges(t *testing.T) {
	base := resource.NewSnapshot(7, validObjects())
	assert.Equal(t, len(ResourceChanges(base, validObjects())), 0)
	for name, c := range map[string]struct {
		rule    Rule
		effect  string
		changes func([]resource.Object)
	}{
		"token":     {RuleAccess, "former token lose access", func(o []resource.Object) { o[2].Account.TokenSHA256 = strings.Repeat("b", 64) }},
		"rate":      {RuleLimit, "falls", func(o []resource.Object) { o[2].Account.RequestsPerSecond = 1 }},
		"no rate":   {RuleLimit, "no limit applies again", func(o []resource.Object) { o[2].Account.RequestsPerSecond = 0 }},
		"weight":    {RuleLimit, "rises", func(o []resource.Object) { o[2].Account.Weight = 2 }},
		"account":   {RuleAccess, "get access", func(o []resource.Object) { o[2].Name = "farm" }},
		"withdrawn": {RuleRouting, "gets no new request for m", func(o []resource.Object) { o[3].Endpoint.Withdrawn = true }},
		"url":       {RuleRouting, "another server", func(o []resource.Object) { o[3].Endpoint.URL = "http://10.0.0.9:80" }},
		"endpoint":  {RuleRouting, "gets requests for m", func(o []resource.Object) { o[3].Name = "e-3" }},
		"bound":     {RuleLimit, "highest load", func(o []resource.Object) { o[0].Model.LoadBound = 2 }},
		"path":      {RuleRepetition, "may run more than once", func(o []resource.Object) { o[1].Service.NonIdempotent = []string{"/a/*"} }},
		"new model": {RuleServiceSetup, "callers can name it", func(o []resource.Object) { o[0].Name = "n" }},
	} {
		t.Run(name, func(t *testing.T) {
			objects := validObjects()
			c.changes(objects)
			findings := ResourceChanges(base, objects)
			assert.Equal(t, len(findings), 1, "%+v", findings)
			assert.Equal(t, findings[0].Rule, c.rule)
			assert.Assert(t, strings.Contains(findings[0].Effect, c.effect), findings[0].Effect)
		})
	}
}

// Guards against a misspelt field that is read over, and against a known one in other case that
// is reported.
func TestUnknownFields(t *testing.T) {
	known := map[string][]string{"": {"Routes", "Limits"}, "Routes": {"TimeoutMs", "Prefix"}}
	document := map[string]any{"routes": []any{map[string]any{"Prefix": "/"}, map[string]any{"TimeoutS": 1}}, "Limits": map[string]any{"any": 1}}
	findings := UnknownFields(document, known, Warning, false)
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, identity(findings[0]), [3]string{"warning", "unknown-field", "routes 2"})
	assert.Equal(t, findings[0].Field+", "+findings[0].Allowed, "TimeoutS, the nearest known name is TimeoutMs")
	assert.Equal(t, len(UnknownFields(document, known, Warning, true)), 1, "only the top level is compared if its name is unknown")
}
