package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	modelFew      = "few"
	modelMany     = "many"
	modelSlow     = "slow"
	operatorToken = "overhead-operator-token"
	accountToken  = "overhead-account-token"
	// accountDigest is the SHA-256 of accountToken.
	accountDigest = "8c303ddca379e2c51f38b08cd7b00b8b33a56f1eddb5349368e27d6a007c2ad7"
	startTimeout  = 20 * time.Second
	// ticksPerSecond is the number of clock ticks, the unit of CPU time in /proc, per second.
	ticksPerSecond = 100
)

// bench is a running platform, router and engines.
type bench struct {
	bin, dir        string
	processes       []*exec.Cmd
	router          *exec.Cmd
	callerAddress   string
	operatorAddress string
	// engineAddresses is keyed by model.
	engineAddresses map[string]string
}

func startBench(bin string) (*bench, error) {
	b := &bench{bin: bin, engineAddresses: make(map[string]string)}
	dir, err := os.MkdirTemp("", "overhead")
	if err != nil {
		return b, err
	}
	b.dir = dir
	platform, err := b.startStandin("platform")
	if err != nil {
		return b, err
	}
	resources := "kind: client-account\nname: a\nclientAccount: {tokenSha256: " + accountDigest + "}\n"
	for model, args := range map[string][]string{
		modelFew:  {"-tokens", strconv.Itoa(fewTokens), "-token-delay", "0"},
		modelMany: {"-tokens", strconv.Itoa(manyTokens), "-token-delay", "0"},
		modelSlow: {"-tokens", "100000", "-token-delay", "1s"},
	} {
		address, err := b.startStandin("engine", append(args, "-name", model)...)
		if err != nil {
			return b, err
		}
		b.engineAddresses[model] = address
		// A high load bound, since one engine serves all requests for its model.
		resources += fmt.Sprintf("---\nkind: model\nname: %s\nmodel: {loadBound: 10}\n", model)
		resources += fmt.Sprintf("---\nkind: endpoint\nname: %s\nendpoint: {url: \"http://%s\", zone: zone-1, models: [%s]}\n", model, address, model)
	}
	if err := b.startRouter(platform); err != nil {
		return b, err
	}
	return b, b.apply(resources)
}

func (b *bench) start(name string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(filepath.Join(b.bin, name), args...)
	cmd.Env = append(os.Environ(), "GENTIANHEAD_OPERATOR_TOKEN="+operatorToken, "GENTIANHEAD_FLEET_KEY=overhead-fleet-key-0")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	b.processes = append(b.processes, cmd)
	return cmd, nil
}

func (b *bench) startStandin(kind string, args ...string) (string, error) {
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	if _, err := b.start("standin", append([]string{kind, "-listen", address}, args...)...); err != nil {
		return "", err
	}
	return address, waitForStatus("http://"+address+"/load", func(int) bool { return true })
}

func (b *bench) startRouter(platform string) error {
	var addresses [3]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	b.callerAddress, b.operatorAddress = addresses[0], addresses[1]
	text := fmt.Sprintf("instance: router-1\nzone: zone-1\nlisten: {callers: %q, operators: %q, peers: %q}\nplatform: {url: \"http://%s\"}\n"+
		"secrets:\n  operatorToken: {env: GENTIANHEAD_OPERATOR_TOKEN}\n  fleetKey: {env: GENTIANHEAD_FLEET_KEY}\nlog: {level: warn}\n",
		addresses[0], addresses[1], addresses[2], platform)
	path := filepath.Join(b.dir, "router.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	cmd, err := b.start("gentianhead", "--settings", path, "serve")
	if err != nil {
		return err
	}
	b.router = cmd
	return waitForStatus("http://"+b.callerAddress+"/readyz", func(status int) bool { return status == http.StatusOK })
}

func (b *bench) apply(resources string) error {
	cmd := exec.Command(filepath.Join(b.bin, "gentianheadctl"), "--router", "http://"+b.operatorAddress, "--token", operatorToken,
		"apply", "--wait", "--timeout", startTimeout.String())
	cmd.Stdin = strings.NewReader(resources)
	if output, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("apply: %w: %s", err, output)
	}
	return nil
}

func (b *bench) stop() {
	for _, cmd := range b.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(b.dir)
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// waitForStatus polls url until isExpected accepts its status or startTimeout has passed.
func waitForStatus(url string, isExpected func(status int) bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		response.Body.Close()
		if isExpected(response.StatusCode) {
			return nil
		}
	}
	return errors.New("timed out waiting for " + url)
}

// counters holds the router's CPU time and mallocs since its start, and its memory
// in bytes.
type counters struct {
	cpu        time.Duration
	mallocs    uint64
	inUseBytes int64
	resident   int64
}

func (b *bench) counters() (counters, error) {
	response, err := http.Get("http://" + b.operatorAddress + "/debug/vars")
	if err != nil {
		return counters{}, err
	}
	defer response.Body.Close()
	var vars struct {
		Memstats struct {
			Mallocs               uint64
			HeapInuse, StackInuse int64
		} `json:"memstats"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return counters{}, err
	}
	c := counters{mallocs: vars.Memstats.Mallocs, inUseBytes: vars.Memstats.HeapInuse + vars.Memstats.StackInuse}
	return c, c.readProcess(b.router.Process.Pid)
}

// readProcess reads CPU time and resident memory from /proc.
func (c *counters) readProcess(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	// Fields after the program name: user and system time are the 12th and 13th,
	// resident pages the 22nd.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var ticks, pages int64
	for _, i := range []int{11, 12} {
		value, _ := strconv.ParseInt(fields[i], 10, 64)
		ticks += value
	}
	pages, err = strconv.ParseInt(fields[21], 10, 64)
	c.cpu = time.Duration(ticks) * time.Second / ticksPerSecond
	c.resident = pages * int64(os.Getpagesize())
	return err
}
