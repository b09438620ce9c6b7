package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/transport"
)

// This file reads the load reports of the engines that this router observes.

const (
	// loadInterval is the time between reads of an engine's load.
	loadInterval = 5 * time.Second
	loadTimeout  = 2 * time.Second
	// maxLoadBytes bounds a load report.
	maxLoadBytes = 16 << 10
	// maxLoad is the largest count in a report. Those of many engines are added up.
	maxLoad = 1 << 20
)

// engineLoad is the load that an engine reports.
type engineLoad struct {
	// InFlight counts running and queued requests.
	InFlight int `json:"inFlight"`
	// Slots is how many requests the engine runs concurrently; zero means unknown.
	Slots int `json:"slots"`
}

// readLoads polls load reports until ctx ends. Only the router that observes an
// engine polls it, so the number of reads doesn't grow with the fleet.
func (r *Routing) readLoads(ctx context.Context) {
	client := transport.NewClient()
	client.Timeout = loadTimeout
	defer client.CloseIdleConnections()
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for {
		for name, url := range r.observed() {
			go r.readLoad(ctx, client, name, url)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// observed returns the URLs of the engines that this router observes, by name.
func (r *Routing) observed() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	urls := make(map[string]string)
	for _, name := range r.node.Observed() {
		if object, ok := r.config.Get(resource.KindEndpoint, name); ok {
			urls[name] = object.Endpoint.URL
		}
	}
	return urls
}

func (r *Routing) readLoad(ctx context.Context, client *http.Client, name, url string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/load", nil)
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var report engineLoad
	if response.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&report) != nil {
		return
	}
	if min(report.InFlight, report.Slots) < 0 || max(report.InFlight, report.Slots) > maxLoad {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.Report(name, report.InFlight, report.Slots)
}
