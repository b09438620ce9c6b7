package hosted

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/entry"
	"gentianhead/core/process/evacuation"
	"gentianhead/core/process/freshness"
	"gentianhead/core/process/handover"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/staleness"
	"gentianhead/core/process/table"
	"gentianhead/core/request/balance"
	"gentianhead/core/request/ratelimit"
	"gentianhead/core/version/catchup"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/connection/beacon"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/watch"
	"gentianhead/fleet/request/relay"
	"gentianhead/platform"
)

const (
	// tickInterval is the interval of the control loop's periodic work.
	tickInterval = 100 * time.Millisecond
	// newsInterval is the least time between two beacons with news of crashes.
	newsInterval   = 20 * time.Millisecond
	eventQueueSize = 1024
	// shutdownBeacons is how many times the shutdown beacon is sent, since single
	// datagrams get lost.
	shutdownBeacons = 3
)

// state is the published control state that requests read. It is immutable.
type state struct {
	table *routetable.Table
	lease freshness.Lease
	// hasEndpoints is set once the table of endpoints was read.
	hasEndpoints bool
	// hasEvacuations is set once the evacuated zones are known, and evacuated are these, sorted.
	hasEvacuations bool
	evacuated      []string
	isShuttingDown bool
	endpointCount  int
	// era is the highest era of the store that is known.
	era uint64
	// isBehind is set while another router is known to have a newer configuration, since
	// behindSince. maxDelay is how long one may not be in force.
	isBehind              bool
	behindSince, maxDelay time.Duration
	// newestVersion is the highest configuration version that this router or another one
	// is known to have in force.
	newestVersion int64
	// configuration is that of table as it is passed on to other routers; nil without one.
	configuration *encodedConfiguration
	// live are the other routers that sent a beacon recently.
	live []*presence.Member
	// listed are the other routers that callers may be given.
	listed []entry.Located
}

// isReady reports whether callers should use this router.
func (s *state) isReady(now time.Duration) bool {
	return s.table != nil && s.hasEndpoints && s.hasEvacuations && !s.isShuttingDown && s.lease.IsFresh(now) && s.isUpToDate(now)
}

// isUpToDate reports whether the configuration in force may be used.
func (s *state) isUpToDate(now time.Duration) bool {
	return !s.isBehind || catchup.MayServe(now, s.behindSince, s.maxDelay)
}

// control is the control loop: a single goroutine that owns the control state and
// publishes immutable copies.
type control struct {
	// settings are replaced by the control goroutine on reload.
	settings atomic.Pointer[platform.Settings]
	balancer *relay.Balancer
	beacons  *beacon.Conn
	log      *slog.Logger
	events   chan any
	current  atomic.Pointer[state]
	// dropped counts beacons dropped because the queue was full.
	dropped atomic.Int64
	// listedAt is when the list in the state was last known to be current.
	listedAt atomic.Int64

	state     state
	endpoints *endpoints.Core
	presence  *presence.Core
	// evacuations are the zones whose endpoints get no requests.
	evacuations *evacuation.Core
	handover    *handover.Core
	engines     cacheReader
	// placementsLeft is how many more cache placements may be sent to other routers.
	placementsLeft int
	// start is the process's start in Unix nanoseconds, which identifies it in beacons,
	// and startedAt the same on the clock of package boottime.
	start     int64
	startedAt time.Duration
	// isUnavailable reports, by table, whether the last store call failed.
	isUnavailable map[string]bool
	isFresh       bool
	// isOutdated is set while this router has been behind for too long to serve.
	isOutdated bool
	// tableEra is the store's era when the configuration was activated or last confirmed by
	// the store.
	tableEra uint64
	catchup  *catchup.Core
	// staleness bounds the age of the views of the store's tables.
	staleness *staleness.Core
	copier    copier
	// storedVersion is the version of the configuration that the store is known to have.
	storedVersion int64
	// sharedAt is when the configuration was last sent to a router that has an older one,
	// by peer address.
	sharedAt map[string]time.Duration
	liveLog  liveLog
	// quarantine stores the prompt parts whose requests are refused.
	quarantine quarantineWriter
	// registerAgain writes this router's row in the table of routers; nil until it runs.
	registerAgain func()

	sync syncState
}

// Events of the control goroutine.
type (
	beaconReceived struct {
		beacon presence.Beacon
		at     time.Duration
	}
	routersDiscovered struct{ peers []string }
	shutdownRequested struct{ done chan struct{} }
)

func newControl(settings *platform.Settings, balancer *relay.Balancer, beacons *beacon.Conn, store table.Feed, log *slog.Logger) *control {
	start, startedAt := time.Now().UnixNano(), boottime.Now()
	c := &control{
		balancer:      balancer,
		beacons:       beacons,
		log:           log,
		events:        make(chan any, eventQueueSize),
		state:         state{lease: freshness.NewLease(settings.MaxRevocationDelay), maxDelay: settings.MaxActivationDelay},
		endpoints:     endpoints.New(),
		presence:      presence.New(presence.Self{Instance: settings.Instance, Zone: settings.Zone, Peer: settings.Peers.String()}, uint64(start)),
		evacuations:   evacuation.New(),
		handover:      handover.New(settings.Instance),
		catchup:       catchup.New(settings.Zone, uint64(start)),
		staleness:     staleness.New(startedAt),
		copier:        newCopier(),
		engines:       newEngineClient(),
		start:         start,
		startedAt:     startedAt,
		sharedAt:      make(map[string]time.Duration),
		isUnavailable: make(map[string]bool),
	}
	c.settings.Store(settings)
	c.sync.init(store, c.bounds)
	balancer.SetFleet(settings.Instance, nil)
	c.applyBounds(settings)
	c.addSeeds(boottime.Now())
	c.publish()
	return c
}

func (c *control) addSeeds(now time.Duration) {
	settings := c.settings.Load()
	for _, seed := range settings.Seeds {
		c.presence.AddPeer(now, peerAddress(seed, settings))
	}
}

// run executes the control loop until ctx is done.
func (c *control) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	news := c.balancer.News()
	var newsPause <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			c.handleEvent(event)
		case <-tick.C:
			c.tick()
		case <-news:
			c.sendNews(boottime.Now())
			news, newsPause = nil, time.After(newsInterval)
		case <-newsPause:
			news, newsPause = c.balancer.News(), nil
		}
	}
}

// enqueueBeacon queues a beacon for the control goroutine. If the queue is full, it
// drops the beacon, since the next one carries the same state.
func (c *control) enqueueBeacon(received presence.Beacon) {
	select {
	case c.events <- beaconReceived{received, boottime.Now()}:
	default:
		c.dropped.Add(1)
	}
}

// enqueueUpdate queues the result of a store call for the control goroutine.
func (c *control) enqueueUpdate(update watch.Update) { c.events <- update }

// announceShutdown marks this router as not ready and notifies the others. It
// returns once both are done.
func (c *control) announceShutdown() {
	done := make(chan struct{})
	c.events <- shutdownRequested{done}
	<-done
}

func (c *control) handleEvent(event any) {
	now := boottime.Now()
	switch e := event.(type) {
	case watch.Update:
		c.handleUpdate(now, e)
	case beaconReceived:
		// The process may have been paused meanwhile.
		e.beacon.HeldFor += now - e.at
		c.handleBeacon(now, e.beacon)
	case routersDiscovered:
		for _, peer := range e.peers {
			c.presence.AddPeer(now, peer)
		}
	case configurationCopied:
		c.handleCopied(now, e)
	case cacheReported:
		c.handleCacheReport(now, e)
	case cacheQueriesDone:
		c.handover.EnginesQueried()
	case quarantineWritten:
		c.handleQuarantineWritten(e)
	case quarantineRead:
		c.handleQuarantineRead(e)
	case settingsChanged:
		c.handleSettings(e.settings)
	case shutdownRequested:
		c.state.isShuttingDown = true
		c.publish()
		c.sendBeacons(now, c.presence.MemberAddresses(), nil)
		for range shutdownBeacons - 1 {
			c.sendBeacons(now, c.neighbors(now), nil)
		}
		close(e.done)
	}
}

func (c *control) handleBeacon(now time.Duration, received presence.Beacon) {
	seen := c.presence.Receive(now, received)
	c.raiseEra(now, received.StoreEra)
	c.adoptEvacuations(now, received)
	c.state.newestVersion = max(c.state.newestVersion, received.Version)
	if received.Version > c.version() {
		c.catchUpWithFleet(now, c.presence.Live(now))
	}
	c.reportLoad(&received)
	c.adoptConfiguration(now, received)
	c.confirmByPeer(now, received)
	c.shareConfiguration(now, received)
	c.handleForwardedRows(now, received)
	c.confirmViews(now, received)
	if seen.IsNew {
		c.liveLog.discovered++
	}
	if seen.ShouldAnswer {
		c.answer(now, received.Peer, seen.IsStarted)
	}
	if seen.IsChanged {
		c.publishLive(now)
	}
	c.sendCaches(now, received)
}

// answer sends a beacon to a router that asked for one. One that has started gets all stated
// request rates: it would take endpoints in need for idle ones.
func (c *control) answer(now time.Duration, peer string, isStarted bool) {
	if !isStarted {
		c.sendBeacons(now, []string{peer}, nil)
		return
	}
	c.sendBeacons(now, []string{peer}, func(b *presence.Beacon) { b.Rates = c.balancer.StatedRates() })
}

// reportLoad passes the load in a beacon to the balancer.
func (c *control) reportLoad(received *presence.Beacon) {
	if c.presence.CountsDirectly(received) {
		c.balancer.Report(received.Instance, balance.WorkReport{Load: received.Load()})
		return
	}
	c.balancer.ForgetSource(received.Instance)
	if digest := received.Digest; c.presence.CountsDigest(received) {
		source := groupSource(received.Group)
		c.balancer.Report(source, balance.WorkReport{Load: digest.Load(), Routers: digest.Routers, Age: digest.Age})
	}
}

// groupSource returns the name of a group as a source of load reports.
func groupSource(group presence.Key) string { return "group " + strconv.FormatUint(uint64(group), 16) }

// confirmByPeer renews the lease from another router's confirmation, unless that
// confirms a newer version than the active one.
func (c *control) confirmByPeer(now time.Duration, received presence.Beacon) {
	if received.EchoStart != c.start || c.state.table == nil || received.Version > c.state.table.Version {
		return
	}
	if received.Version < c.state.table.Version && received.StoreEra > c.tableEra {
		// The sender may know the store only since it came back from an older copy.
		return
	}
	if confirmedAt := received.Echo.ConfirmedAt(); confirmedAt <= now {
		c.state.lease = c.state.lease.Confirm(confirmedAt)
		c.publish()
	}
}

// sendBeacons sends a beacon with this router's load to each router; beacons differ
// only in their echo. add sets other content on all of them; it may be nil.
func (c *control) sendBeacons(now time.Duration, to []string, add func(*presence.Beacon)) {
	if len(to) == 0 {
		return
	}
	base := c.beacon(now)
	base.SetLoad(c.load(now))
	if add != nil {
		add(&base)
	}
	c.send(now, base, to)
}

// sendDigests sends a beacon with the digest of this router's group to each router.
func (c *control) sendDigests(now time.Duration, to []string) {
	if len(to) == 0 {
		return
	}
	base := c.beacon(now)
	base.Digest = c.presence.Digest(now, c.load(now))
	base.Mentions = nil
	c.send(now, base, to)
}

// send sends a beacon to each router, with its echo.
func (c *control) send(now time.Duration, base presence.Beacon, to []string) {
	for _, peer := range to {
		b := base
		if member, known := c.presence.Member(peer); known {
			if echo, ok := c.state.lease.EchoTo(member.Stamp, member.ArrivedAt); ok {
				b.Echo, b.EchoStart = echo, member.Start
			}
			b.Views = c.staleness.EchoTo(member.Start, member.Stamp, member.ArrivedAt)
		}
		c.beacons.Send(b, peer)
	}
}

// sendNews sends what routers should know of crashes before the next round.
func (c *control) sendNews(now time.Duration) {
	newsSent.Add(1)
	c.sendBeacons(now, c.presence.Direct(), nil)
	c.sendDigests(now, c.presence.Partners(now))
}

// load returns this router's load. Placements are sent twice, since single datagrams
// get lost.
func (c *control) load(now time.Duration) presence.Load {
	return c.balancer.Work(now - 2*c.presence.Interval()).Load
}

// neighbors returns the routers that pass news on to all others.
func (c *control) neighbors(now time.Duration) []string {
	return append(c.presence.Direct(), c.presence.Partners(now)...)
}

// beacon returns the beacon with this router's current state, without its load.
func (c *control) beacon(now time.Duration) presence.Beacon {
	settings := c.settings.Load()
	b := presence.Beacon{
		Instance:   settings.Instance,
		Zone:       settings.Zone,
		Region:     settings.Region,
		Address:    settings.Callers,
		Peer:       settings.Peers.String(),
		Start:      c.start,
		IsServing:  c.state.isReady(now),
		HasStore:   c.hasStore(),
		LinkMbps:   linkMbps(settings),
		IsWatching: !c.state.isShuttingDown && c.staleness.IsWatching(now, c.bounds()),
		Mentions:   c.presence.Mentions(),
		Stamp:      now,
		Group:      c.presence.Group(),

		KnowsCaches: c.handover.IsInformed(),

		EndpointsVersion: c.sync.newest.Version,
		StoreEra:         c.sync.era,
		EndpointsHash:    c.sync.hash,
		Evacuations:      c.evacuations.State(now),
	}
	if c.state.table != nil {
		b.Version = c.state.table.Version
	}
	return b
}

func (c *control) tick() {
	now := boottime.Now()
	c.balancer.Tick()
	c.sendRound(now)
	if c.endpoints.Tick(now) {
		c.endpointsChanged("a lapsed entry was not renewed")
	}
	c.evacuationsChanged(now, "the grace after a new era of the store has ended")
	if fresh := c.state.lease.IsFresh(now); fresh != c.isFresh {
		c.isFresh = fresh
		age, _ := c.state.lease.Age(now)
		c.log.Info("Freshness of the configuration changed.", "isFresh", fresh, "age", age)
	}
	c.keepInSync(now, c.publishLive(now))
	c.queryCaches(now)
	c.storeQuarantine(now)
	if isOutdated := !c.state.isUpToDate(now); isOutdated != c.isOutdated {
		c.isOutdated = isOutdated
		c.log.Warn("Serving with the configuration in force changed.", "isServing", !isOutdated, "version", c.version(),
			"newest", c.state.newestVersion, "behindFor", now-c.state.behindSince)
	}
}

// sendRound sends the beacons that are due.
func (c *control) sendRound(now time.Duration) {
	round := c.presence.Tick(now)
	if round.IsGroupChanged {
		c.balancer.Forget()
		c.log.Info("Group of routers changed.", "group", c.presence.Group())
	}
	for _, group := range round.StaleGroups {
		c.balancer.ForgetSource(groupSource(group))
	}
	for _, instance := range round.StaleRouters {
		c.balancer.ForgetSource(instance)
	}
	c.sendBeacons(now, round.Direct, nil)
	c.sendBeacons(now, round.Introductions, func(b *presence.Beacon) { b.Introduces = true })
	c.sendDigests(now, round.Partners)
}

func (c *control) handleUpdate(now time.Duration, update watch.Update) {
	if update.Err != nil {
		c.log.Info("A store call failed.", "table", update.Table, "took", now-update.StartedAt, "error", update.Err)
	}
	c.trackStore(now, update)
	if update.Err != nil {
		c.staleness.Failed(viewOf[update.Table])
		return
	}
	if update.Revision.Era < c.sync.era {
		// It confirms nothing: the store has come back from an older copy since.
		c.log.Info("A store response of an older era was ignored.", "table", update.Table, "era", update.Revision.Era)
		c.refresh(now, update.Table, "the store has a new era")
		return
	}
	c.raiseEra(now, update.Revision.Era)
	c.sync.readAt[update.Table] = update.StartedAt
	if update.Unreadable > 0 {
		c.log.Warn("Rows could not be read.", "table", update.Table, "rows", update.Unreadable)
	}
	switch update.Table {
	case platform.TableOperator:
		c.readEvacuations(now, update)
		c.handleConfiguration(update)
	case platform.TableEndpoints:
		c.handleEndpoints(now, update)
	}
}

// trackStore tracks whether the store responds.
func (c *control) trackStore(now time.Duration, update watch.Update) {
	wasUnavailable, isUnavailable := c.isUnavailable[update.Table], update.Err != nil
	c.isUnavailable[update.Table] = isUnavailable
	if update.Table == platform.TableEndpoints {
		if isUnavailable {
			c.endpoints.StoreFailed()
		} else {
			c.endpoints.StoreResponded(now)
		}
	}
	if wasUnavailable != isUnavailable {
		c.log.Info("Contact with the store changed.", "table", update.Table, "isAway", isUnavailable, "error", update.Err)
	}
}

// handleConfiguration activates a newer configuration and renews the lease, unless the
// store has an older one than this router: it has come back from an older copy then, and
// newer ones that are lost may have removed a secret.
func (c *control) handleConfiguration(update watch.Update) {
	if update.IsSnapshot {
		c.storedVersion = 0
	}
	isReadable := true
	for _, row := range update.Rows {
		if row.Key != platform.KeyConfiguration || row.IsRemoved {
			continue
		}
		version, err := c.activateConfiguration(row.Value, nil)
		isReadable = err == nil
		if isReadable {
			c.storedVersion = version
		}
	}
	if c.state.table == nil {
		return
	}
	if c.storedVersion < c.state.table.Version {
		// Without a drill, this router heard of the newer one from another first.
		if update.Revision.Era > c.tableEra {
			c.log.Warn("The store has an older configuration than this router.", "stored", c.storedVersion, "inForce", c.state.table.Version, "era", update.Revision.Era)
		}
		return
	}
	if isReadable {
		c.state.lease = c.state.lease.Confirm(update.StartedAt)
		c.tableEra = update.Revision.Era
		c.staleness.Responded(staleness.Configuration, update.CompleteAt)
		c.publish()
	}
}

// activateConfiguration activates a configuration if it is newer than the one in force,
// and returns its version. compressed is the gzipped value if it was received so, else nil.
func (c *control) activateConfiguration(value, compressed []byte) (version int64, err error) {
	spec, err := platform.DecodeConfiguration(value)
	if err != nil {
		c.log.Error("The configuration can't be read.", "error", err)
		return 0, err
	}
	if c.state.table != nil && spec.Version <= c.state.table.Version {
		return spec.Version, nil
	}
	table, err := routetable.New(spec)
	if err != nil {
		c.log.Error("The configuration can't be used.", "version", spec.Version, "error", err)
		return 0, err
	}
	if !table.RequiresAccount() && c.settings.Load().RequiresAccount {
		c.log.Error("The configuration has no list of client accounts. All requests that need one are refused.", "version", spec.Version)
	}
	for _, skipped := range spec.Skipped {
		c.log.Warn("A value of the configuration was skipped.", "version", spec.Version, "reason", skipped)
	}
	c.state.table = table
	c.state.newestVersion = max(c.state.newestVersion, table.Version)
	c.tableEra = c.sync.era
	if compressed != nil {
		c.state.configuration = newCopiedConfiguration(table.Version, compressed)
	} else {
		c.state.configuration = newEncodedConfiguration(table.Version, value)
	}
	c.balancer.SetTable(table)
	now := boottime.Now()
	c.catchUpWithFleet(now, c.presence.Live(now))
	c.publish()
	c.log.Info("Configuration in force.", "version", spec.Version, "routes", len(spec.Routes), "accounts", len(spec.Accounts))
	if c.sync.isWatcher.Load() {
		c.broadcastConfiguration(now)
	}
	return spec.Version, nil
}

// publishLive publishes the live routers if they changed, and returns them.
func (c *control) publishLive(now time.Duration) []*presence.Member {
	live := c.presence.Live(now)
	c.listRouters(now, live)
	isSame := slices.EqualFunc(live, c.state.live, func(a, b *presence.Member) bool {
		return a.Instance == b.Instance && a.Address == b.Address && a.IsServing == b.IsServing && a.Region == b.Region
	})
	if isSame {
		c.logLive(now)
		return live
	}
	c.state.live = live
	c.logLive(now)
	c.balancer.SetFleet(c.settings.Load().Instance, lo.Map(live, func(m *presence.Member, _ int) ratelimit.Router {
		return ratelimit.Router{Instance: m.Instance, IsServing: m.IsServing}
	}))
	c.publish()
	return live
}

func (c *control) publish() {
	c.state.era = c.sync.era
	published := c.state
	c.current.Store(&published)
}
