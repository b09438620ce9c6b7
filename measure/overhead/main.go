// Command overhead measures the cost that a router adds to a request, compared
// with calling the stand-in engine directly in the same run, on real processes.
// It prints latencies, requests per second, allocations and CPU time per request,
// CPU time per forwarded token and memory per open stream.
//
//	go run ./measure/overhead -seed 1 -bin bin
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Bounds from the targets at the 95th percentile: first token within 0.41 s and
// 55 ms between tokens. The router alone must stay within them.
const (
	maxFirstToken = 410 * time.Millisecond
	maxTokenGap   = 55 * time.Millisecond
)

const (
	sliceTime    = 700 * time.Millisecond
	sliceCount   = 4
	fewTokens    = 16
	manyTokens   = 256
	fewStreams   = 100
	manyStreams  = 1000
	settleTime   = 1500 * time.Millisecond
	percentile50 = 50
	percentile95 = 95
	percentile99 = 99
)

func main() {
	// The load isn't random. scripts/measure.sh passes -seed to every measurement.
	seed := flag.Uint64("seed", 1, "accepted but not used")
	bin := flag.String("bin", "bin", "folder of the built programs")
	flag.Parse()
	fmt.Printf("seed %d (not used)\n", *seed)
	isMet, err := measure(*bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
	if !isMet {
		fmt.Fprintln(os.Stderr, "overhead: a bound was missed")
		os.Exit(1)
	}
}

// measure prints all tables and reports whether the bounds were met.
func measure(bin string) (bool, error) {
	b, err := startBench(bin)
	defer b.stop()
	if err != nil {
		return false, err
	}
	fmt.Printf("\n%-8s %-7s %8s %9s %9s %9s %9s %9s %9s %10s %10s\n", "answer", "clients", "path", "p50 ms", "p99 ms",
		"first p50", "first p99", "gap p95", "req/s", "allocs/req", "CPU us/req")
	isMet := true
	for _, stream := range []bool{false, true} {
		for _, clients := range []int{1, 32} {
			direct, routed, used, err := b.compare(load{model: modelFew, stream: stream, clients: clients})
			if err != nil {
				return false, err
			}
			printRow(stream, clients, "direct", direct, usage{})
			printRow(stream, clients, "routed", routed, used)
			isMet = isMet && routed.firstEvent.at(percentile95) <= maxFirstToken && routed.gaps.at(percentile95) <= maxTokenGap
		}
	}
	if err := b.printTokenSlope(); err != nil {
		return false, err
	}
	return isMet, b.printStreamMemory()
}

func printRow(stream bool, clients int, path string, r result, used usage) {
	answer := "whole"
	if stream {
		answer = "streamed"
	}
	allocs, cpu := "-", "-"
	if used.requests > 0 {
		allocs = fmt.Sprintf("%.0f", used.allocsPerRequest())
		cpu = fmt.Sprintf("%.0f", used.cpuPerRequest())
	}
	fmt.Printf("%-8s %-7d %8s %9.3f %9.3f %9.3f %9.3f %9.3f %9.0f %10s %10s\n", answer, clients, path,
		millis(r.total.at(percentile50)), millis(r.total.at(percentile99)),
		millis(r.firstEvent.at(percentile50)), millis(r.firstEvent.at(percentile99)), millis(r.gaps.at(percentile95)),
		r.perSecond(), allocs, cpu)
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// printTokenSlope prints the CPU time that one more token of a stream costs the router.
func (b *bench) printTokenSlope() error {
	few, err := b.measureUsage(load{model: modelFew, stream: true, clients: 16})
	if err != nil {
		return err
	}
	many, err := b.measureUsage(load{model: modelMany, stream: true, clients: 16})
	if err != nil {
		return err
	}
	perToken := (many.cpuPerRequest() - few.cpuPerRequest()) / (manyTokens - fewTokens)
	allocs := (many.allocsPerRequest() - few.allocsPerRequest()) / (manyTokens - fewTokens)
	fmt.Printf("\nstreams of %d and %d tokens, 16 clients: %.0f and %.0f us CPU a stream; slope %.2f us and %.1f allocations a token\n",
		fewTokens, manyTokens, few.cpuPerRequest(), many.cpuPerRequest(), perToken, allocs)
	return nil
}

// printStreamMemory prints the memory that one more open stream costs the router.
func (b *bench) printStreamMemory() error {
	few, err := b.countersWithOpenStreams(fewStreams)
	if err != nil {
		return err
	}
	many, err := b.countersWithOpenStreams(manyStreams)
	if err != nil {
		return err
	}
	const kib = 1 << 10
	slope := float64(many.inUseBytes-few.inUseBytes) / (manyStreams - fewStreams) / kib
	resident := float64(many.resident-few.resident) / (manyStreams - fewStreams) / kib
	fmt.Printf("%d and %d open streams: %d and %d KiB in use, %d and %d KiB resident; slope %.1f KiB in use, %.1f KiB resident a stream\n",
		fewStreams, manyStreams, few.inUseBytes/kib, many.inUseBytes/kib, few.resident/kib, many.resident/kib, slope, resident)
	return nil
}
