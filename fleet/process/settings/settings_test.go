package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const examplePath = "../../../docs/settings.example.yaml"

// Guards against accepting invalid settings and against errors with a wrong line.
func TestLoadInvalidFile(t *testing.T) {
	for file, want := range map[string]string{
		"unknown-key.yaml":           "13: key shutdown.grase: unknown key; allowed: announce, grace, entryLife",
		"wrong-type.yaml":            "13: key limits.bodyBytes: wrong type; allowed: a whole number",
		"duration-without-unit.yaml": "13: key shutdown.entryLife: wrong type; allowed: a duration with its unit, such as 30s",
		"out-of-range.yaml":          "13: key limits.connections: out of range; allowed: 16 to 1048576",
		"duplicate-address.yaml":     "6: key listen.peers: same address as listen.callers; allowed: an address that no other key has",
		"not-an-address.yaml":        "5: key listen.operators: not an address; allowed: IP:PORT with a port from 1 to 65535",
		"contradiction.yaml":         "14: key limits.bodyMemoryBytes: contradicts limits.bodyBytes; allowed: 268435456 (4 times limits.bodyBytes) or more",
		"two-sources.yaml":           "11: key secrets.fleetKey: both or neither of env and file; allowed: exactly one of env and file",
		"missing-key.yaml":           "1: key zone: missing; allowed: a name of 1 to 100 bytes",
		"unknown-value.yaml":         "13: key log.level: unknown value; allowed: one of [debug info warn error]",
		"key-twice.yaml":             `12: mapping key "zone" already defined at [2:1]; allowed: YAML`,
		"broken-syntax.yaml":         "13: found character '\t' that cannot start any token; allowed: YAML",
	} {
		path := filepath.Join("testdata", file)
		_, err := Load(path)
		assert.Error(t, err, path+":"+want)
	}
}

func TestLoadValidFile(t *testing.T) {
	_, err := Load("testdata/good.yaml")
	assert.NilError(t, err)
}

// secretPrefix matches the prefix of the keys of a secret. The prefixes are unified
// since each secret has only one of its keys in the example.
var secretPrefix = regexp.MustCompile(`^secrets\.\w+\.`)

// Guards against an example that lacks a key, a comment or the current defaults.
func TestExampleComplete(t *testing.T) {
	data, err := os.ReadFile(examplePath)
	assert.NilError(t, err)
	example, err := Parse(examplePath, data)
	assert.NilError(t, err)
	d, err := parseDocument(examplePath, data)
	assert.NilError(t, err)

	lines := strings.Split(string(data), "\n")
	shown := make(map[string]bool)
	for key, line := range d.lines {
		shown[secretPrefix.ReplaceAllString(key, "secrets.*.")] = true
		above := strings.TrimSpace(lines[line-2])
		assert.Assert(t, strings.HasPrefix(above, "#"), "key %s has no comment above it", key)
	}
	for _, key := range Keys() {
		assert.Assert(t, shown[secretPrefix.ReplaceAllString(key.Path, "secrets.*.")], "key %s is not in the example", key.Path)
	}

	defaults, err := Load("testdata/good.yaml")
	assert.NilError(t, err)
	defaults.Secrets = example.Secrets
	assert.DeepEqual(t, example, defaults)
}

// Guards against panics, and results with neither or both of settings and error.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, file := range append(files, examplePath) {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("a: &x [*x]\n<<: {b: 1}\n? [c]\n: d\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.yaml", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v, error %v", s, err)
		}
	})
}
