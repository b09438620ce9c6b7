package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testdata = "../../process/settings/testdata"

func gentianhead(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = run(args, &out, &err)
	return code, out.String(), err.String()
}

func TestCheckInvalidSettings(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(testdata, "*.yaml"))
	assert.NilError(t, err)
	checked := 0
	for _, file := range files {
		if filepath.Base(file) == "good.yaml" {
			continue
		}
		code, _, stderr := gentianhead("--settings", file, "check")
		assert.Equal(t, code, exitFailed, file)
		assert.Assert(t, strings.HasPrefix(stderr, "gentianhead: "+file+":"), stderr)
		assert.Assert(t, strings.Contains(stderr, "allowed: "), stderr)
		code, _, _ = gentianhead("--settings", file, "serve")
		assert.Equal(t, code, exitFailed, file)
		checked++
	}
	assert.Assert(t, checked >= 10)
}

func TestCheckValidSettings(t *testing.T) {
	code, stdout, _ := gentianhead("--settings", filepath.Join(testdata, "good.yaml"), "check")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.HasSuffix(stdout, "good.yaml: ok\n"), stdout)
}

func TestCheckLogLevelFromEnvironment(t *testing.T) {
	good := filepath.Join(testdata, "good.yaml")
	t.Setenv("GENTIANHEAD_LOG_LEVEL", "debug")
	code, _, _ := gentianhead("--settings", good, "check")
	assert.Equal(t, code, exitOK)
	t.Setenv("GENTIANHEAD_LOG_LEVEL", "loud")
	code, _, stderr := gentianhead("--settings", good, "check")
	assert.Equal(t, code, exitUsage, stderr)
	assert.Assert(t, strings.Contains(stderr, "debug, info, warn, error"), stderr)
}

func TestHelpAndUsage(t *testing.T) {
	code, stdout, _ := gentianhead("--help")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(stdout, "Exit codes"), stdout)
	code, _, stderr := gentianhead("--no-such-flag")
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(stderr, "no-such-flag"), stderr)
	code, _, _ = gentianhead()
	assert.Equal(t, code, exitUsage)
	for _, arg := range []string{"version", "--version"} {
		code, stdout, _ = gentianhead(arg)
		assert.Equal(t, code, exitOK)
		assert.Assert(t, strings.HasPrefix(stdout, "gentianhead "), stdout)
	}
}
