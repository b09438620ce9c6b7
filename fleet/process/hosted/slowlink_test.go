package hosted

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"gentianhead/core/process/presence"
	"gentianhead/fleet/process/boottime"
	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

const (
	// slowLinkRate is the rate of the slowest machine's link, in bytes a second.
	slowLinkRate = 10e6 / 8
	// slowLinkBurst is how much such a link passes on at once.
	slowLinkBurst = 16 << 10
)

// slowLink passes connections on to the store at the rate of one machine's link, which
// they share. It returns its address.
func slowLink(t *testing.T, store *platformtest.Store) string { return linkOf(t, store, slowLinkRate) }

// linkOf is slowLink with a rate, in bytes a second.
func linkOf(t *testing.T, store *platformtest.Store, bytesPerSecond float64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	link := rate.NewLimiter(rate.Limit(bytesPerSecond), slowLinkBurst)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", store.Address)
			if err != nil {
				_ = near.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(far, near)
				_ = far.Close()
			}()
			go passOn(t, near, far, link)
		}
	}()
	return listener.Addr().String()
}

// passOn copies from far to near at the rate of the link until either ends.
func passOn(t *testing.T, near, far net.Conn, link *rate.Limiter) {
	defer near.Close()
	defer far.Close()
	_ = near.(*net.TCPConn).SetWriteBuffer(slowLinkBurst)
	buffer := make([]byte, slowLinkBurst)
	for {
		n, err := far.Read(buffer)
		if n > 0 {
			if link.WaitN(t.Context(), n) != nil {
				return
			}
			if _, err := near.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// largeConfiguration returns a configuration whose additional routes have random names,
// as an operator's have, which compress to about a tenth.
func largeConfiguration(version, routes int) map[string]any {
	random := rand.New(rand.NewPCG(1, 1))
	value := configuration(version, "secret")
	table := value["RouteTable"].([]map[string]any)
	for range routes {
		table = append(table, map[string]any{
			"Name": fmt.Sprintf("r-%08x", random.Uint32()), "Hostname": hostName, "Prefix": fmt.Sprintf("/%010x/", random.Uint64()>>24), "RouteType": "safe",
			"TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 2, "Service": "plain", "MaxAttempts": 2, "Anonymous": false, "SessionAffinity": false, "StreamResume": false,
		})
	}
	value["RouteTable"] = table
	return value
}

// Guards against a configuration that never takes effect since reading it takes longer
// than a store call may: each try began anew, at the full rate of the link (inc1).
func TestConfigurationSlowerThanStoreCallTakesEffect(t *testing.T) {
	f := newFleet(t, 0)
	f.startAt(0, slowLink(t, f.store))
	f.eventuallyVersion(1)
	// Several versions in the history must not add up either.
	for version := 2; version <= 4; version++ {
		f.store.Put(platform.TableOperator, platform.KeyConfiguration, largeConfiguration(version, 6000))
	}
	f.eventuallyVersion(4)
	f.eventually("confirmed", func() bool { return f.routers[0].control.current.Load().lease.IsFresh(boottime.Now()) })
}

// Guards against slow links that hold up a large configuration in a fleet: routers other
// than the watchers read it from the store twice a second, and never to its end (inc1).
func TestLargeConfigurationReachesRoutersOnSlowLinks(t *testing.T) {
	const size = 6
	f := newFleet(t, 0)
	for number := range size {
		f.startAt(number, slowLink(t, f.store))
	}
	for number := range size {
		f.eventually("all routers resolved", func() bool { return len(f.resolve(number)) == size })
	}
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, largeConfiguration(2, 6000))
	f.eventuallyVersion(2)
	for number := range size {
		f.eventually("confirmed", func() bool {
			return f.routers[number].control.current.Load().lease.IsFresh(boottime.Now() + time.Second)
		})
	}
}

// Guards against a router that the store refuses and that never gets a configuration too
// large for a beacon (inc1: "The configuration can't be sent to a router without it.").
func TestLargeConfigurationReachesRouterWithoutStore(t *testing.T) {
	f := newFleet(t, 4)
	unavailableStore := platformtest.NewStore()
	t.Cleanup(unavailableStore.Close)
	unavailableStore.SetFault(platformtest.Unavailable)
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, largeConfiguration(2, 6000))
	f.startAt(4, unavailableStore.Address)
	f.routers[4].control.events <- routersDiscovered{[]string{f.routers[0].settings.Peers.String()}}
	f.eventuallyVersion(2)
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, largeConfiguration(3, 6000))
	f.eventuallyVersion(3)
	f.eventually("confirmed by others", func() bool { return f.routers[4].control.current.Load().lease.IsFresh(boottime.Now()) })
}

// Guards against copies of what the caller has already, and copies that never end.
func TestCopiesOfConfiguration(t *testing.T) {
	f := newFleet(t, 1)
	f.eventuallyVersion(1)
	router := f.routers[0]
	address := router.settings.Peers.String()
	copied := router.control.copier.copyFrom(address, 0)
	assert.NilError(t, copied.err)
	spec, err := platform.DecodeConfiguration(copied.value)
	assert.NilError(t, err)
	assert.Equal(t, spec.Version, int64(1))
	assert.ErrorContains(t, router.control.copier.copyFrom(address, 1).err, "404")
	assert.ErrorContains(t, router.control.copier.copyFrom(freeAddress(t, router.settings.Peers.Addr()), 0).err, "refused")
}

// Guards against copies that a router serves without bound, each later for it.
func TestCopiesServedAtATime(t *testing.T) {
	c, _ := newControlWithPeers(t, 1)
	router := &Router{settings: &platform.Settings{LinkMbps: 2 * mbpsPerCopy}, control: c, log: slog.New(slog.DiscardHandler)}
	server := httptest.NewServer(router.copyServer())
	defer server.Close()
	address := server.Listener.Addr().String()
	isServing, mayEnd := make(chan bool), make(chan bool)
	c.state.configuration = &encodedConfiguration{9, func() ([]byte, error) {
		isServing <- true
		<-mayEnd
		return compress([]byte("configuration"))
	}}
	c.publish()
	ended := make(chan error)
	for range 2 {
		go func() { ended <- c.copier.copyFrom(address, 0).err }()
		<-isServing
	}
	assert.ErrorIs(t, c.copier.copyFrom(address, 0).err, errBusy)
	close(mayEnd)
	for range 2 {
		assert.NilError(t, <-ended)
	}
}

// Guards against a router that denies what a newer configuration allows, and that serves by
// an older one for as long as it can't get the newer (inc1: 404 and an old route 3 s after a
// change).
func TestRouterBehindRefusesInsteadOfUsingOldConfiguration(t *testing.T) {
	f := newFleet(t, 1)
	f.eventually("served", func() bool { return f.status(0, "first", "a") == http.StatusOK })
	assert.Equal(t, f.status(0, "added", "b"), http.StatusUnauthorized)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		// A router with a newer configuration that serves no copies.
		for ctx.Err() == nil {
			f.routers[0].control.enqueueBeacon(presence.Beacon{Instance: "newer", Peer: "127.0.0.1:1", Address: "127.0.0.1:2", Start: 1, Version: 9})
			time.Sleep(50 * time.Millisecond)
		}
	}()
	f.eventually("no denial while behind", func() bool { return f.status(0, "added", "c") == http.StatusServiceUnavailable })
	f.eventually("not served while behind", func() bool { return f.status(0, "first", "d") == http.StatusServiceUnavailable })
	assert.Assert(t, !f.routers[0].control.current.Load().isReady(boottime.Now()))
	cancel()
	f.eventually("served as no router has a newer one", func() bool { return f.status(0, "first", "e") == http.StatusOK })
}

// Guards against a series of large configurations, faster than a link carries one, that never
// ends for the watchers: each read of the changes would hold more versions than the one before.
func TestSeriesOfLargeConfigurationsTakesEffect(t *testing.T) {
	const (
		size, versions = 4, 12
		// scale makes configurations and links smaller than the largest and slowest ones: the
		// race detector makes decoding, not the links, the longest part otherwise.
		scale = 4
	)
	f := newFleet(t, 0)
	for number := range size {
		f.startAt(number, linkOf(t, f.store, slowLinkRate/scale))
	}
	for number := range size {
		f.eventually("all routers resolved", func() bool { return len(f.resolve(number)) == size })
	}
	value := largeConfiguration(2, 6000/scale)
	for version := 2; version < 2+versions; version++ {
		value["Version"] = version
		f.store.Put(platform.TableOperator, platform.KeyConfiguration, value)
		time.Sleep(330 * time.Millisecond)
	}
	storedAt := boottime.Now()
	f.eventuallyVersion(1 + versions)
	t.Logf("in force %v after the last one was stored", boottime.Now()-storedAt)
}
