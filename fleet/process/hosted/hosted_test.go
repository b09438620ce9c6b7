package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianhead/core/process/staleness"
	"gentianhead/fleet/process/boottime"
	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// fleet is a set of routers in one process on loopback addresses, with a fake store
// and one fake endpoint.
type fleet struct {
	t        *testing.T
	store    *platformtest.Store
	endpoint *platformtest.Endpoint
	routers  []*Router
	stops    []context.CancelFunc
	ended    []chan error
	port     uint16
	// adjust changes the settings of a router before it starts; nil for none.
	adjust func(number int, settings *platform.Settings)
}

const hostName = "a.example"

// maxTestRouters is the largest number of routers in a fleet.
const maxTestRouters = 8

func configuration(version int, secret string) map[string]any {
	return map[string]any{
		"Version": version,
		"RouteTable": []map[string]any{{
			"Name": "orders", "Hostname": hostName, "Prefix": "/orders/", "RouteType": "unsafe",
			"TimeoutMs": 5000, "TargetLatencyMs": 300, "Service": "plain", "MaxAttempts": 1,
		}},
		"Services": []map[string]any{{"Name": "plain", "MaxConnections": 100}},
		"Limits":   map[string]any{"MaxBodyBytes": 10000},
		"Tenants":  []map[string]any{{"Name": "mill", "ApiKeys": []string{secret}}},
	}
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	return newAdjustedFleet(t, size, nil)
}

// newAdjustedFleet returns a fleet whose routers have settings that adjust changes.
func newAdjustedFleet(t *testing.T, size int, adjust func(number int, settings *platform.Settings)) *fleet {
	t.Helper()
	f := &fleet{t: t, adjust: adjust, store: platformtest.NewStore(), endpoint: platformtest.NewEndpoint("e-1")}
	t.Cleanup(f.store.Close)
	t.Cleanup(f.endpoint.Close)
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, configuration(1, "first"))
	f.store.Put(platform.TableEndpoints, f.endpoint.ID, f.endpoint.Entry("plain", "ready"))
	f.port = freePort(t, lo.Times(maxTestRouters, routerIP)...)
	for number := range size {
		f.start(number)
	}
	return f
}

// freePort returns a port that is free for TCP and UDP on the addresses. It is below those that
// the kernel gives to outgoing connections: one of them could take the port before a router
// listens on it, which then ends.
func freePort(t *testing.T, ips ...netip.Addr) uint16 {
	t.Helper()
	const from, to = 15000, 32000
	for range 1000 {
		port := uint16(from + rand.IntN(to-from))
		if slices.IndexFunc(ips, func(ip netip.Addr) bool { return !isFree(netip.AddrPortFrom(ip, port)) }) < 0 {
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

func isFree(address netip.AddrPort) bool {
	packets, err := net.ListenPacket("udp4", address.String())
	if err != nil {
		return false
	}
	defer packets.Close()
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return false
	}
	defer listener.Close()
	return true
}

// routerIP returns the address of a router.
func routerIP(number int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(number + 1)}) }

func freeAddress(t *testing.T, ip netip.Addr) string {
	t.Helper()
	return netip.AddrPortFrom(ip, freePort(t, ip)).String()
}

func (f *fleet) start(number int) {
	f.t.Helper()
	f.startAt(number, f.store.Address)
}

// startAt starts a router that uses the store at the given address.
func (f *fleet) startAt(number int, store string) {
	f.t.Helper()
	ip := routerIP(number)
	settings := &platform.Settings{
		Instance: fmt.Sprintf("router-%d", number), Zone: "zone-1", Region: "region-1",
		Callers: freeAddress(f.t, ip), Readiness: freeAddress(f.t, ip), Directory: freeAddress(f.t, ip),
		Peers: netip.AddrPortFrom(ip, f.port), Store: store,
		MemoryBytes: 1 << 30, MaxOpenFiles: 1000, MaxRevocationDelay: 5 * time.Second, MaxActivationDelay: 3 * time.Second, MaxWithdrawalDelay: 2 * time.Second,
		Grace: 8 * time.Second, AddressTTL: 5 * time.Second, LoadFactor: 2, RetryRatio: 0.2, RetrySlack: 50,
		RetryWindow: 10 * time.Second, PrefixReuseWindow: 10 * time.Second,
		Regions: map[string]string{"zone-1": "region-1"}, ColdOverage: 1.5, ColdTolerance: 5,
	}
	if f.adjust != nil {
		f.adjust(number, settings)
	}
	router, err := New(settings, slog.New(slog.DiscardHandler))
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		err := router.Run(ctx, abort)
		if err != nil {
			f.t.Logf("router %d ended: %v", number, err)
		}
		ended <- err
		close(ended)
	}()
	f.routers, f.stops, f.ended = append(f.routers, router), append(f.stops, cancel), append(f.ended, ended)
	f.t.Cleanup(func() {
		cancelAbort()
		cancel()
		<-ended
	})
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (f *fleet) status(number int, secret, id string) int {
	f.t.Helper()
	return f.statusAt(number, "/orders/1", secret, id)
}

func (f *fleet) statusAt(number int, path, secret, id string) int {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.routers[number].settings.Callers+path, strings.NewReader("order"))
	assert.NilError(f.t, err)
	request.Host = hostName
	request.Header.Set("Authorization", "Token "+secret)
	request.Header.Set("Gentianhead-Attempt-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (f *fleet) resolve(number int) []string { return f.resolveFor(number, "Name="+hostName) }

// resolveFor returns what a router's directory answers to a query.
func (f *fleet) resolveFor(number int, query string) []string {
	f.t.Helper()
	response, err := http.Get("http://" + f.routers[number].settings.Directory + platform.ResolvePath + "?" + query)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer struct{ Addresses []string }
	assert.NilError(f.t, json.NewDecoder(response.Body).Decode(&answer))
	return answer.Addresses
}

func TestFleetServesAndResolvesAllRouters(t *testing.T) {
	f := newFleet(t, 3)
	for number := range 3 {
		f.eventually("request served", func() bool { return f.status(number, "first", fmt.Sprintf("a-%d", number)) == http.StatusOK })
		f.eventually("all routers resolved", func() bool { return len(f.resolve(number)) == 3 })
	}
	assert.Equal(t, f.status(0, "wrong", "b"), http.StatusUnauthorized)
}

func TestStoreChangesReachAllRouters(t *testing.T) {
	f := newFleet(t, 3)
	for number := range 3 {
		f.eventually("request served", func() bool { return f.status(number, "first", fmt.Sprintf("a-%d", number)) == http.StatusOK })
	}
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, configuration(2, "second"))
	for number := range 3 {
		f.eventually("new secret accepted", func() bool { return f.status(number, "second", fmt.Sprintf("b-%d", number)) == http.StatusOK })
		assert.Equal(t, f.status(number, "first", "c"), http.StatusUnauthorized)
	}
	f.store.Put(platform.TableEndpoints, f.endpoint.ID, f.endpoint.Entry("plain", "draining"))
	for number := range 3 {
		f.eventually("endpoint not used", func() bool {
			return f.status(number, "second", fmt.Sprintf("d-%d", number)) == http.StatusServiceUnavailable
		})
	}
}

// Guards against a system that is open to everybody once the last secret, the last account or
// the whole list of accounts has gone from the configuration.
func TestRequestsRefusedWithoutSecretsLeft(t *testing.T) {
	f := newFleet(t, 2)
	for number := range 2 {
		f.eventually("request served", func() bool { return f.status(number, "first", fmt.Sprintf("a-%d", number)) == http.StatusOK })
	}
	served := len(f.endpoint.Runs())
	for version, tenants := range []any{[]map[string]any{{"Name": "mill", "ApiKeys": []string{}}}, []map[string]any{{"Name": "mill", "ApiKeys": []string{""}}}, []any{}, nil} {
		changed := configuration(version+2, "")
		changed["Tenants"] = tenants
		if tenants == nil {
			delete(changed, "Tenants")
		}
		f.store.Put(platform.TableOperator, platform.KeyConfiguration, changed)
		if tenants == nil {
			// The settings tell after a reload that requests need a secret all the same.
			for _, router := range f.routers {
				settings := *router.settings
				settings.RequiresAccount = true
				router.Reload(&settings)
				f.eventually("settings reloaded", func() bool { return router.control.settings.Load().RequiresAccount })
			}
		}
		for number, router := range f.routers {
			f.eventually("version in force", func() bool { return router.control.current.Load().table.Version == int64(version+2) })
			for _, secret := range []string{"first", "never", ""} {
				assert.Equal(t, f.status(number, secret, fmt.Sprint("b-", version, number, secret)), http.StatusUnauthorized, "%v", tenants)
			}
		}
	}
	assert.Equal(t, len(f.endpoint.Runs()), served)
}

func TestOlderConfigurationIgnored(t *testing.T) {
	f := newFleet(t, 1)
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, configuration(5, "fifth"))
	f.eventually("version active", func() bool { return f.status(0, "fifth", "a") == http.StatusOK })
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, configuration(4, "fourth"))
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, []byte("{ no configuration"))
	f.store.Put(platform.TableEndpoints, "other", []byte("no entry"))
	f.store.Compact()
	f.store.Put(platform.TableEndpoints, "marker", f.endpoint.Entry("marked", "ready"))
	f.eventually("all changes read", func() bool {
		return f.routers[0].control.current.Load().table != nil && f.store.Calls("rows-get") >= 5
	})
	assert.Equal(t, f.status(0, "fifth", "b"), http.StatusOK)
	assert.Equal(t, f.status(0, "fourth", "c"), http.StatusUnauthorized)
}

// During a store outage, no router may accept secrets for longer than the limit,
// however often routers confirm each other.
func TestSecretsRejectedDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 3)
	for number := range 3 {
		f.eventually("request served", func() bool { return f.status(number, "first", fmt.Sprintf("a-%d", number)) == http.StatusOK })
	}
	f.store.SetFault(platformtest.Unavailable)
	outageStart := boottime.Now()
	for number := range 3 {
		f.eventually("secret refused", func() bool {
			return f.status(number, "first", fmt.Sprintf("b-%d", number)) == http.StatusServiceUnavailable
		})
	}
	for number := range 3 {
		age, _ := f.routers[number].control.current.Load().lease.Age(boottime.Now())
		assert.Assert(t, age >= boottime.Now()-outageStart, "the confirmation is newer than the store's last response")
	}
	f.store.SetFault("")
	for number := range 3 {
		f.eventually("served again", func() bool { return f.status(number, "first", fmt.Sprintf("c-%d", number)) == http.StatusOK })
	}
}

func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	f := newFleet(t, 3)
	for number := range 3 {
		f.eventually("all routers resolved", func() bool { return len(f.resolve(number)) == 3 })
	}
	f.endpoint.Pause = 500 * time.Millisecond
	inFlight := make(chan int, 1)
	go func() { inFlight <- f.status(0, "first", "slow") }()
	f.eventually("request in flight", func() bool { return len(f.endpoint.Runs()) == 1 })
	f.stops[0]()
	for number := 1; number < 3; number++ {
		f.eventually("address not returned anymore", func() bool { return len(f.resolve(number)) == 2 })
	}
	assert.Equal(t, f.status(0, "first", "with-an-old-address"), http.StatusOK)
	assert.Equal(t, <-inFlight, http.StatusOK)
	assert.NilError(t, <-f.ended[0])
	assert.Assert(t, len(f.store.Keys(tableRouters)) <= 2)
}

// awaitWatchers waits until all routers know each other and staleness.MaxWatchers of them watch.
func (f *fleet) awaitWatchers() {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		watching := 0
		var states []string
		for number, router := range f.routers {
			current := router.control.current.Load()
			resolved, isWatcher := len(f.resolve(number)), router.control.sync.isWatcher.Load()
			if resolved == len(f.routers) && isWatcher {
				watching++
			}
			states = append(states, fmt.Sprintf("%d: resolves %d, watcher %v, version %v, ready %v, behind %v, live %d",
				number, resolved, isWatcher, current.table != nil, current.isReady(boottime.Now()), current.isBehind, len(current.live)))
		}
		if watching == staleness.MaxWatchers {
			return poll.Success()
		}
		return poll.Continue("%d watchers: %s", watching, strings.Join(states, "; "))
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// The load on the store must not grow with the fleet.
func TestWatcherCountInLargerFleet(t *testing.T) {
	f := newFleet(t, 6)
	f.awaitWatchers()
}

// Routers that are not watchers must receive changes of entries from the watchers.
func TestEntryChangesReachNonWatchers(t *testing.T) {
	f := newFleet(t, 6)
	f.awaitWatchers()
	f.store.Put(platform.TableEndpoints, f.endpoint.ID, f.endpoint.Entry("plain", "draining"))
	for number := range 6 {
		f.eventually("endpoint not used", func() bool { return f.routers[number].control.current.Load().endpointCount == 0 })
	}
	f.store.Delete(platform.TableEndpoints, f.endpoint.ID)
	f.store.Put(platform.TableEndpoints, "e-2", f.endpoint.Entry("plain", "ready"))
	for number := range 6 {
		f.eventually("new endpoint in service", func() bool { return f.routers[number].control.current.Load().endpointCount == 1 })
	}
}

// A router that the store refuses must receive the configuration from the others.
func TestConfigurationReachesRouterWithoutStore(t *testing.T) {
	f := newFleet(t, 4)
	unavailableStore := platformtest.NewStore()
	t.Cleanup(unavailableStore.Close)
	unavailableStore.SetFault(platformtest.Unavailable)
	f.startAt(4, unavailableStore.Address)
	f.routers[4].control.events <- routersDiscovered{[]string{f.routers[0].settings.Peers.String()}}
	for number := range 5 {
		f.eventually("all routers resolved", func() bool { return len(f.resolve(number)) >= 4 })
	}
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, configuration(2, "second"))
	f.eventually("version active", func() bool {
		table := f.routers[4].control.current.Load().table
		return table != nil && table.Version == 2
	})
	f.eventually("confirmed by others", func() bool { return f.routers[4].control.current.Load().lease.IsFresh(boottime.Now()) })
}
