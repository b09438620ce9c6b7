package control

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"gentianhead/core/version/resource"
)

// This file reads the load reports of the engines that this router observes.

const (
	// loadInterval is the time between two reads of an engine's load.
	loadInterval = 5 * time.Second
	loadTimeout  = 2 * time.Second
)

// loadReport is what an engine says of its load.
type loadReport struct {
	// InFlight counts running and queued requests.
	InFlight int `json:"inFlight"`
	// Slots is how many requests the engine runs at once; zero means it does not say.
	Slots int `json:"slots"`
}

// readLoads reads loads until ctx ends. Only the observer of an engine asks it,
// so the number of reads does not grow with the fleet.
func (r *Routing) readLoads(ctx context.Context) {
	client := &http.Client{Timeout: loadTimeout}
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

// observed returns the addresses of the engines that this router observes.
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
	var report loadReport
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&report) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.Report(name, report.InFlight, report.Slots)
}
