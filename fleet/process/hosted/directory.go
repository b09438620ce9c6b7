package hosted

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/table"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/watch"
	"gentianhead/platform"
)

const (
	// maxAddresses is the number of addresses that callers accept in one response.
	maxAddresses = 64
	// tableRouters is the store table in which routers register their addresses for
	// those that start later.
	tableRouters = "routers"
	// maxListAge is the age of the list of other routers from which it isn't given to callers: the
	// control goroutine renews it several times a second, unless the process is paused.
	maxListAge = 2 * time.Second
	// registerRetry is the delay before a failed store call is retried.
	registerRetry = 500 * time.Millisecond
)

// isReady reports whether callers should use this router.
func (r *Router) isReady() bool {
	return !r.isStopping.Load() && r.control.current.Load().isReady(boottime.Now())
}

// serveReadiness handles the platform's readiness probe.
func (r *Router) serveReadiness(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path != platform.ReadyPath:
		http.NotFound(w, request)
	case r.isReady():
		w.WriteHeader(http.StatusOK)
	default:
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// serveAddresses returns the addresses of the routers that a caller should use.
func (r *Router) serveAddresses(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != platform.ResolvePath {
		http.NotFound(w, request)
		return
	}
	answer, err := platform.EncodeResolved(r.addresses(request.URL.Query()), r.addressTTL())
	if err != nil {
		r.log.Error("Encoding addresses failed.", "error", err)
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// addresses returns the addresses of the routers that serve callers, those in the caller's
// region first. If there are none, it returns this router's own, so that the response is never
// empty.
func (r *Router) addresses(query url.Values) []string {
	current := r.control.current.Load()
	var routers []entry.Located
	if boottime.Now()-time.Duration(r.control.listedAt.Load()) <= maxListAge {
		routers = slices.Clone(current.listed)
	}
	if r.isReady() || len(routers) == 0 {
		routers = append(routers, entry.Located{Address: r.settings.Callers, Region: r.settings.Region})
	}
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	var homes []string
	if current.table != nil {
		homes = current.table.HomesOf(query.Get("Name"))
	}
	addresses := entry.ByRegion(routers, query.Get("Region"), homes)
	return addresses[:min(len(addresses), maxAddresses)]
}

// listRouters publishes the other routers that callers may be given.
func (c *control) listRouters(now time.Duration, live []*presence.Member) {
	var listed []entry.Located
	for _, member := range live {
		if member.IsServing && c.presence.IsNamed(now, member) {
			listed = append(listed, entry.Located{Address: member.Address, Region: c.regionOf(member)})
		}
	}
	if !slices.Equal(listed, c.state.listed) {
		c.state.listed = listed
		c.publish()
	}
	c.listedAt.Store(int64(now))
}

// regionOf returns the region of another router. That of an older release, which doesn't state
// it, is in this router's if its zone is in no known one.
func (c *control) regionOf(member *presence.Member) string {
	settings := c.settings.Load()
	return cmp.Or(member.Region, settings.Regions[member.Zone], settings.Region)
}

// putAddress writes a row in the table of routers.
func (r *Router) putAddress(ctx context.Context, put table.Put) error {
	_, err := r.store.Table(tableRouters).Commit(ctx, table.Transaction{Puts: []table.Put{put}})
	return err
}

// register writes this router's address to the store and reads those of the others.
// Writing first ensures that of two routers starting at the same time, at least one
// discovers the other.
func (r *Router) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.putAddress(ctx, table.Put{Key: r.settings.Instance, Value: []byte(r.settings.Peers.String())})
		if err == nil {
			break
		}
		r.log.Warn("Registering this router's address failed.", "error", err)
		watch.SleepWithJitter(ctx, registerRetry)
	}
	for ctx.Err() == nil {
		rows, err := r.store.Rows(ctx, tableRouters)
		if err == nil {
			var peers []string
			for _, row := range rows.Rows {
				if row.Key == keyQuarantine {
					r.control.events <- quarantineRead{row.Value}
					continue
				}
				peers = append(peers, string(row.Value))
			}
			r.control.events <- routersDiscovered{peers}
			return
		}
		r.log.Warn("Reading the addresses of the routers failed.", "error", err)
		watch.SleepWithJitter(ctx, registerRetry)
	}
}
