package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/core/version/check"
)

const tableText = `{"Version":2,"RouteTable":[{"Name":"orders","Hostname":"a.example","Prefix":"/orders/","RouteType":"unsafe",
 "TimeoutMs":5000,"TargetLatencyMs":300,"Service":"plain","MaxAttempts":1}],
 "Services":[{"Name":"plain"}],"Limits":{"MaxBodyBytes":10000},"Tenants":[{"Name":"mill","ApiKeys":["the-secret"]}]}`

const resourcesText = `kind: model
name: m
model: {}
---
kind: endpoint
name: e-1
endpoint: {url: "http://10.0.0.1:80", zone: zone-1, models: [m]}
`

// runCheck writes the files and runs check with the arguments, in which a file stands by its name.
func runCheck(t *testing.T, files map[string]string, args ...string) (code int, output string) {
	t.Helper()
	t.Chdir(t.TempDir())
	for name, content := range files {
		assert.NilError(t, os.WriteFile(name, []byte(content), 0o600))
	}
	var stdout, stderr bytes.Buffer
	code = run(t.Context(), append([]string{"check"}, args...), strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// Guards against an exit code that lets a faulty configuration be sent, and against secrets in
// the output.
func TestCheckExitCodes(t *testing.T) {
	files := map[string]string{
		"clean": tableText, "resources": resourcesText, "malformed": tableText[:len(tableText)-2],
		"error":     strings.Replace(tableText, `"Service":"plain"`, `"Service":"plane"`, 1),
		"kind":      strings.Replace(tableText, "unsafe", "never", 1),
		"type":      strings.Replace(tableText, "5000", `"5000"`, 1),
		"warning":   strings.Replace(tableText, "MaxAttempts", "MaxAttempt", 1),
		"misspelt":  strings.Replace(resourcesText, "zone:", "zon:", 1),
		"undeclare": strings.Replace(resourcesText, "[m]", "[m, n]", 1),
		"settings":  "NodeName=r\n",
	}
	for _, c := range []struct {
		code int
		has  string
		args []string
	}{
		{0, "errors: 0, warnings: 0, changes: 0", []string{"clean"}},
		{0, "errors: 0, warnings: 0, changes: 0", []string{"resources"}},
		{1, `TrafficSplit "plane"`, []string{"error"}},
		{1, `allowed: safe, unsafe or streaming`, []string{"kind"}},
		{1, "TimeoutMs", []string{"type"}},
		{1, "file, byte", []string{"malformed"}},
		{0, "nearest known name is MaxAttempts", []string{"warning"}},
		{1, "warnings: 1", []string{"warning", "--strict"}},
		{1, "warnings: 1", []string{"--strict", "warning"}},
		{1, "nearest known name is zone", []string{"misspelt"}},
		{0, `model "n" is not declared`, []string{"undeclare"}},
		{1, "all-zones-evacuated", []string{"resources", "--evacuated", "zone-1"}},
		{2, "needs FILE", nil},
		{2, "missing", []string{"missing"}},
		{2, "unexpected argument", []string{"clean", "error"}},
		{2, "different formats", []string{"clean", "--against", "resources"}},
		{2, "in-force is for resources", []string{"clean", "--against", "in-force"}},
		{2, "text or json", []string{"clean", "-o", "xml"}},
		{2, "unknown flag", []string{"clean", "--lenient"}},
		{2, "is missing", []string{"clean", "--settings", "settings"}},
	} {
		code, output := runCheck(t, files, c.args...)
		assert.Equal(t, code, c.code, "%v: %s", c.args, output)
		assert.Assert(t, strings.Contains(output, c.has), "%v: %s", c.args, output)
		assert.Assert(t, !strings.Contains(output, "the-secret"), output)
	}
}

// Guards against differences that are left out, and against JSON that scripts can't read.
func TestCheckAgainstFile(t *testing.T) {
	next := strings.NewReplacer(`"Version":2`, `"Version":3`, "the-secret", "other-secret", "5000", "400").Replace(tableText)
	code, output := runCheck(t, map[string]string{"old": tableText, "next": next}, "next", "--against", "old", "-o", "json")
	assert.Equal(t, code, 0, output)
	var report checkReport
	assert.NilError(t, json.Unmarshal([]byte(output), &report))
	assert.Equal(t, report.Changes, 3)
	assert.Equal(t, len(report.Findings), 3)
	assert.Equal(t, report.Findings[0].Field, "TimeoutMs")
	assert.Assert(t, !strings.Contains(output, "-secret"), output)
}

// Guards against a check against the wrong resources, and one that passes since no router answers.
func TestCheckAgainstInForce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/v1/resources")
		_, _ = w.Write([]byte(`{"revision":7,"items":[{"kind":"model","name":"m","revision":7,"model":{}},
			{"kind":"endpoint","name":"e-1","revision":6,"endpoint":{"url":"http://10.0.0.9:80","zone":"zone-1","models":["m"]}}]}`))
	}))
	defer server.Close()
	t.Setenv("GENTIANHEADCTL_ROUTER", server.URL)
	files := map[string]string{"resources": resourcesText}
	code, output := runCheck(t, files, "resources", "--against", "in-force")
	assert.Equal(t, code, 0, output)
	assert.Assert(t, strings.Contains(output, `"http://10.0.0.9:80 -> http://10.0.0.1:80"`) && strings.Contains(output, "changes: 1"), output)
	server.Close()
	code, output = runCheck(t, files, "resources", "--against", "in-force")
	assert.Equal(t, code, exitUsage, output)
}

// Guards against a rule that finds something in the resources that the demo and the pages show.
// An indented block of a page that starts a document is taken as a file.
func TestCheckDemoAndPages(t *testing.T) {
	checked := 0
	clean := func(name, text string) {
		checked++
		findings, err := (&commands{}).findings(t.Context(), []byte(text), "", check.DefaultEnvironment())
		assert.NilError(t, err, name)
		assert.Equal(t, len(findings), 0, "%s: %+v", name, findings)
	}
	content, err := os.ReadFile("../../../demo/resources.yaml")
	assert.NilError(t, err)
	clean("demo", string(content))
	pages, err := filepath.Glob("../../../docs/*/*.md")
	assert.NilError(t, err)
	for _, path := range pages {
		page, err := os.ReadFile(path)
		assert.NilError(t, err)
		for block := range strings.SplitSeq(string(page), "\n\n") {
			text := strings.ReplaceAll("\n"+block, "\n    ", "\n")
			if strings.HasPrefix(block, "    ") && (strings.HasPrefix(text, "\nkind: ") || strings.HasPrefix(text, "\n{\"Version\"")) {
				clean(path, text)
			}
		}
	}
	assert.Assert(t, checked >= 2, "only %d", checked)
}

// Guards against a file of either format that ends the check with a panic.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(tableText), []byte(`{"Version":1,"RouteTable":[{"Prefix":"/"}]}`))
	f.Add([]byte(resourcesText), []byte("kind: model\nname: m\n"))
	f.Add([]byte("kind: service\nname: s\nservice: {nonIdempotent: [/*, '']}\n---\n"), []byte("[]"))
	f.Fuzz(func(t *testing.T, data, other []byte) {
		c := &commands{stdin: bytes.NewReader(other)}
		for _, against := range []string{"", "-"} {
			_, _ = c.findings(t.Context(), data, against, check.Environment{Regions: map[string]string{"z": "r"}, Evacuated: []string{"z"}})
		}
	})
}
