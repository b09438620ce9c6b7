package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// requestTimeout limits one request so that a run can't hang.
const requestTimeout = 10 * time.Second

type load struct {
	model   string
	stream  bool
	clients int
}

type durations []time.Duration

// at sorts d and returns a percentile, or zero when there are no durations.
func (d durations) at(percentile int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)*percentile/100, len(d)-1)]
}

// result holds the latencies measured by the clients.
type result struct {
	total      durations
	firstEvent durations
	// gaps are the times between two events of a stream.
	gaps    durations
	elapsed time.Duration
}

func (r *result) add(other result) {
	r.total = append(r.total, other.total...)
	r.firstEvent = append(r.firstEvent, other.firstEvent...)
	r.gaps = append(r.gaps, other.gaps...)
}

func (r result) perSecond() float64 {
	return float64(len(r.total)) / r.elapsed.Seconds()
}

// usage is the router's resource usage over a number of requests.
type usage struct {
	requests int
	cpu      time.Duration
	mallocs  float64
}

func (u usage) allocsPerRequest() float64 { return u.mallocs / float64(u.requests) }

// cpuPerRequest is in microseconds.
func (u usage) cpuPerRequest() float64 { return float64(u.cpu.Microseconds()) / float64(u.requests) }

// compare alternates time slices of direct and routed load.
func (b *bench) compare(l load) (direct, routed result, used usage, err error) {
	for range sliceCount {
		sliceResult, err := runLoad(b.engineAddresses[l.model], l, sliceTime)
		if err != nil {
			return direct, routed, used, fmt.Errorf("direct: %w", err)
		}
		direct.add(sliceResult)
		direct.elapsed += sliceResult.elapsed
		sliceResult, sliceUsage, err := b.runRouted(l)
		if err != nil {
			return direct, routed, used, fmt.Errorf("routed: %w", err)
		}
		routed.add(sliceResult)
		routed.elapsed += sliceResult.elapsed
		used.requests += sliceUsage.requests
		used.cpu += sliceUsage.cpu
		used.mallocs += sliceUsage.mallocs
	}
	return direct, routed, used, nil
}

func (b *bench) measureUsage(l load) (usage, error) {
	var sum usage
	for range sliceCount {
		_, used, err := b.runRouted(l)
		if err != nil {
			return sum, err
		}
		sum.requests += used.requests
		sum.cpu += used.cpu
		sum.mallocs += used.mallocs
	}
	return sum, nil
}

func (b *bench) runRouted(l load) (result, usage, error) {
	before, err := b.counters()
	if err != nil {
		return result{}, usage{}, err
	}
	r, err := runLoad(b.callerAddress, l, sliceTime)
	if err != nil {
		return result{}, usage{}, err
	}
	after, err := b.counters()
	return r, usage{
		requests: len(r.total),
		cpu:      after.cpu - before.cpu,
		mallocs:  float64(after.mallocs - before.mallocs),
	}, err
}

func runLoad(address string, l load, d time.Duration) (result, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.clients}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	start := time.Now()
	results := make([]result, l.clients)
	failures := make([]error, l.clients)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			for time.Since(start) < d && failures[i] == nil {
				failures[i] = sendRequest(client, address, l, &results[i])
			}
		})
	}
	wg.Wait()
	sum := result{elapsed: time.Since(start)}
	for _, r := range results {
		sum.add(r)
	}
	return sum, errors.Join(failures...)
}

func newRequest(ctx context.Context, address string, l load) (*http.Request, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"What does a torsion spring cost?"}]}`, l.model, l.stream)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+accountToken)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// sendRequest sends one request and adds the times of its response to r.
func sendRequest(client *http.Client, address string, l load, r *result) error {
	request, err := newRequest(context.Background(), address, l)
	if err != nil {
		return err
	}
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	if l.stream {
		err = readStream(response.Body, start, r)
	} else {
		_, err = io.Copy(io.Discard, response.Body)
	}
	r.total = append(r.total, time.Since(start))
	return err
}

func readStream(body io.Reader, start time.Time, r *result) error {
	last, isFirst, isDone := start, true, false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if !bytes.HasPrefix(scanner.Bytes(), []byte("data:")) {
			continue
		}
		now := time.Now()
		if isFirst {
			r.firstEvent = append(r.firstEvent, now.Sub(start))
		} else {
			r.gaps = append(r.gaps, now.Sub(last))
		}
		last, isFirst = now, false
		isDone = bytes.HasSuffix(scanner.Bytes(), []byte("[DONE]"))
	}
	if !isDone {
		return fmt.Errorf("stream ended before [DONE]: %v", scanner.Err())
	}
	return nil
}

// countersWithOpenStreams returns the router's counters settleTime after the given
// number of streams was opened.
func (b *bench) countersWithOpenStreams(streams int) (counters, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	failures := make([]error, streams)
	for i := range streams {
		wg.Go(func() { failures[i] = openStream(ctx, client, b.callerAddress) })
	}
	wg.Wait()
	if err := errors.Join(failures...); err != nil {
		return counters{}, err
	}
	time.Sleep(settleTime)
	return b.counters()
}

// openStream opens a slow stream that stays open until ctx ends.
func openStream(ctx context.Context, client *http.Client, address string) error {
	request, err := newRequest(ctx, address, load{model: modelSlow, stream: true})
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return fmt.Errorf("status %d", response.StatusCode)
	}
	go func() {
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
	}()
	return nil
}
