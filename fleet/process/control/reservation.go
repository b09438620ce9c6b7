package control

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"gentianhead/core/process/membership"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/request/admission"
	"gentianhead/core/request/reservation"
	"gentianhead/core/request/retry"
	"gentianhead/core/request/routing"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/frame"
	"gentianhead/fleet/connection/peer"
)

// This file drives the routing core: it sends the core's calls to other routers
// and delivers placements to waiting requests.

// reservationTimeout bounds each reservation call between routers.
const reservationTimeout = 300 * time.Millisecond

// Routing places requests. Its methods may be called from any goroutine; a
// mutex guards the core, whose decisions take about a microsecond and never
// block. The control goroutine updates the configuration and the view; request
// goroutines place requests.
type Routing struct {
	peers *peer.Pool

	mu        sync.Mutex
	node      *routing.Node
	config    *resource.Snapshot
	withdrawn *withdrawal.Set
	view      *membership.View
	waiting   map[routing.Ticket]chan routing.Placement
}

func newRouting(self membership.Router, peers *peer.Pool) *Routing {
	r := &Routing{
		peers:   peers,
		node:    routing.New(self.Instance, self.Incarnation),
		waiting: make(map[routing.Ticket]chan routing.Placement),
	}
	peers.OnDisconnect(r.onDisconnect)
	return r
}

// onDisconnect reports to the core that the connection to a peer has ended.
func (r *Routing) onDisconnect(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view == nil {
		return
	}
	for _, router := range r.view.Routers {
		if router.PeerAddress == address {
			r.node.Disconnected(time.Now(), router.Instance)
		}
	}
	r.processReady()
}

// update passes a changed configuration or view to the core.
func (r *Routing) update(config *resource.Snapshot, withdrawn *withdrawal.Set, view *membership.View) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if config != r.config || withdrawn != r.withdrawn {
		r.config, r.withdrawn = config, withdrawn
		r.node.SetConfig(now, routingConfig(config, withdrawn))
	}
	if view != r.view {
		r.view = view
		r.node.SetView(now, view)
	}
	r.processReady()
}

// onListRead reports to the core that the view includes a newly read instance list.
func (r *Routing) onListRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.InstancesListed(time.Now())
}

// routingConfig returns the routing configuration without withdrawn endpoints.
func routingConfig(snapshot *resource.Snapshot, withdrawn *withdrawal.Set) routing.Config {
	models := lo.Map(snapshot.List(resource.KindModel), func(o resource.Object, _ int) routing.Model {
		options := reservation.Options{Bound: o.Model.LoadBound, ReuseWeight: o.Model.ReuseWeight}
		if options.Bound == 0 {
			options.Bound = resource.DefaultLoadBound
		}
		return routing.Model{Name: o.Name, Options: options, Engines: enginesInService(snapshot, withdrawn, o.Name)}
	})
	accounts := lo.SliceToMap(snapshot.List(resource.KindAccount), func(o resource.Object) (string, routing.Account) {
		return o.Name, routing.Account{Limit: o.Account.RequestsPerSecond, Weight: o.Account.Weight}
	})
	return routing.Config{Models: models, Accounts: accounts}
}

// enginesInService returns the engines of a model that are not withdrawn.
func enginesInService(snapshot *resource.Snapshot, withdrawn *withdrawal.Set, model string) []string {
	return lo.Filter(snapshot.EndpointsOfModel(model), func(name string, _ int) bool {
		object, _ := snapshot.Get(resource.KindEndpoint, name)
		return isInService(object.Endpoint, withdrawn)
	})
}

// Place chooses the engine for a request. It blocks until there is a placement
// or ctx ends; then ok is false and the request must not be sent.
func (r *Routing) Place(ctx context.Context, request routing.PlacementRequest) (placement routing.Placement, ok bool) {
	r.mu.Lock()
	ticket := r.node.Place(time.Now(), request)
	answer := r.addWaiter(ticket)
	r.processReady()
	r.mu.Unlock()
	return r.awaitPlacement(ctx, ticket, answer)
}

// Failed ends an attempt and decides whether to retry the request on another
// engine. It returns the same results as Place.
func (r *Routing) Failed(ctx context.Context, ticket routing.Ticket, isNotRun bool) (placement routing.Placement, ok bool) {
	r.mu.Lock()
	answer := r.addWaiter(ticket)
	r.node.Failed(time.Now(), ticket, isNotRun, remaining(ctx))
	r.processReady()
	r.mu.Unlock()
	return r.awaitPlacement(ctx, ticket, answer)
}

// remaining returns the time until ctx's deadline, or an hour if it has none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}

func (r *Routing) addWaiter(ticket routing.Ticket) chan routing.Placement {
	answer := make(chan routing.Placement, 1)
	r.waiting[ticket] = answer
	return answer
}

func (r *Routing) awaitPlacement(ctx context.Context, ticket routing.Ticket, answer chan routing.Placement) (routing.Placement, bool) {
	select {
	case placement := <-answer:
		return placement, true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, ticket)
	r.node.Cancel(time.Now(), ticket)
	r.processReady()
	return routing.Placement{}, false
}

// Done ends a request that was placed.
func (r *Routing) Done(ticket routing.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.Done(time.Now(), ticket)
	r.processReady()
}

// Admit checks a request to a plain service against its account's rate limit.
// It returns nil or the refusal.
func (r *Routing) Admit(account string) *routing.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Admit(time.Now(), account)
}

// Retry decides whether to retry a failed request to a plain service. It returns
// nil or the refusal.
func (r *Routing) Retry(failure retry.Failure) *routing.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Retry(time.Now(), failure)
}

// run ticks the core until ctx ends.
func (r *Routing) run(ctx context.Context) {
	tick := time.NewTicker(reservation.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.mu.Lock()
			r.node.Tick(now)
			r.processReady()
			r.mu.Unlock()
		}
	}
}

// processReady performs the actions that the core requests. The caller holds the mutex.
func (r *Routing) processReady() {
	ready := r.node.Ready()
	for _, call := range ready.Calls {
		go r.call(call)
	}
	for _, placement := range ready.Placements {
		if answer, ok := r.waiting[placement.Ticket]; ok {
			answer <- placement
			delete(r.waiting, placement.Ticket)
		}
	}
}

// call sends one message to another router and passes the reply to the core.
func (r *Routing) call(call routing.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
	defer cancel()
	callType, reply := callTypeOf(call.Message)
	err := r.peers.Call(ctx, call.Address, callType, call.Message, reply)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.node.CallFailed(time.Now(), call.ID, errors.Is(err, syscall.ECONNREFUSED))
	} else {
		r.node.CallReplied(time.Now(), call.ID, reply)
	}
	r.processReady()
}

// callTypeOf returns the call type of a message and an empty reply to decode into.
func callTypeOf(message routing.Message) (frame.Type, routing.Reply) {
	switch message.(type) {
	case *reservation.Request:
		return peer.TypeReserve, &reservation.Decision{}
	case *reservation.Registration:
		return peer.TypeRegister, &routing.Ack{}
	case *reservation.Release:
		return peer.TypeRelease, &routing.Ack{}
	case *reservation.Invitation:
		return peer.TypeInvite, &routing.Ack{}
	case *reservation.Total:
		return peer.TypeTotal, &routing.Ack{}
	case *admission.Demand:
		return peer.TypeDemand, &admission.Share{}
	}
	panic(errors.AssertionFailedf("unexpected message type %T", message))
}

// register registers the handlers of the calls between routing cores.
func (r *Routing) register(server *peer.Server) {
	server.Register(peer.TypeReserve, deliver[reservation.Request](r))
	server.Register(peer.TypeRegister, deliver[reservation.Registration](r))
	server.Register(peer.TypeRelease, deliver[reservation.Release](r))
	server.Register(peer.TypeInvite, deliver[reservation.Invitation](r))
	server.Register(peer.TypeTotal, deliver[reservation.Total](r))
	server.Register(peer.TypeDemand, deliver[admission.Demand](r))
}

// deliver returns a handler that passes messages of type M to the core.
func deliver[M any](r *Routing) peer.HandlerFunc {
	return func(call frame.Frame) (any, error) {
		message := new(M)
		if err := call.Decode(message); err != nil {
			return nil, err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		reply := r.node.HandleMessage(time.Now(), message)
		r.processReady()
		return reply, nil
	}
}
