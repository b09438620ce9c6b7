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

// This file drives the routing core: it carries its calls to other routers and
// hands placements to the requests that wait for them.

// reserveTimeout bounds one call between routers about a reservation.
const reserveTimeout = 300 * time.Millisecond

// Routing places requests. Its methods may be called from any goroutine; a
// mutex guards the core, whose decisions take about a microsecond and never
// block. The control goroutine brings the configuration and the view, traffic
// places requests.
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
	peers.OnEnd(r.disconnected)
	return r
}

// disconnected takes in that the connection to a peer has ended.
func (r *Routing) disconnected(address string) {
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
	r.drain()
}

// update takes in what is in force now.
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
	r.drain()
}

// listed takes in that the platform's list was read and is in the view.
func (r *Routing) listed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.Listed(time.Now())
}

// routingConfig returns what the configuration says of routing. Endpoints that
// are withdrawn are left out.
func routingConfig(snapshot *resource.Snapshot, withdrawn *withdrawal.Set) routing.Config {
	models := lo.Map(snapshot.List(resource.KindModel), func(o resource.Object, _ int) routing.Model {
		options := reservation.Options{Bound: o.Model.LoadBound, ReuseWeight: o.Model.ReuseWeight}
		if options.Bound == 0 {
			options.Bound = resource.DefaultLoadBound
		}
		return routing.Model{Name: o.Name, Options: options, Engines: liveEngines(snapshot, withdrawn, o.Name)}
	})
	accounts := lo.SliceToMap(snapshot.List(resource.KindAccount), func(o resource.Object) (string, routing.Account) {
		return o.Name, routing.Account{Limit: o.Account.RequestsPerSecond, Weight: o.Account.Weight}
	})
	return routing.Config{Models: models, Accounts: accounts}
}

// liveEngines returns the engines of a model that are not withdrawn.
func liveEngines(snapshot *resource.Snapshot, withdrawn *withdrawal.Set, model string) []string {
	return lo.Filter(snapshot.EndpointsOfModel(model), func(name string, _ int) bool {
		object, _ := snapshot.Get(resource.KindEndpoint, name)
		return isInService(object.Endpoint, withdrawn)
	})
}

// Place decides where a request goes. It returns when a placement is there or
// ctx has ended; then ok is false and the request must not be sent.
func (r *Routing) Place(ctx context.Context, ask routing.Ask) (placement routing.Placement, ok bool) {
	r.mu.Lock()
	ticket := r.node.Place(time.Now(), ask)
	answer := r.await(ticket)
	r.drain()
	r.mu.Unlock()
	return r.receive(ctx, ticket, answer)
}

// Failed ends an attempt and decides whether the request goes to another
// engine. Results are those of Place.
func (r *Routing) Failed(ctx context.Context, ticket routing.Ticket, isNotRun bool) (placement routing.Placement, ok bool) {
	r.mu.Lock()
	answer := r.await(ticket)
	r.node.Failed(time.Now(), ticket, isNotRun, remaining(ctx))
	r.drain()
	r.mu.Unlock()
	return r.receive(ctx, ticket, answer)
}

// remaining returns the time before ctx's deadline.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}

func (r *Routing) await(ticket routing.Ticket) chan routing.Placement {
	answer := make(chan routing.Placement, 1)
	r.waiting[ticket] = answer
	return answer
}

func (r *Routing) receive(ctx context.Context, ticket routing.Ticket, answer chan routing.Placement) (routing.Placement, bool) {
	select {
	case placement := <-answer:
		return placement, true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, ticket)
	r.node.Cancel(time.Now(), ticket)
	r.drain()
	return routing.Placement{}, false
}

// Done ends a request that was placed.
func (r *Routing) Done(ticket routing.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.Done(time.Now(), ticket)
	r.drain()
}

// Admit decides whether a request to a plain service is within its account's
// rate. It returns nil or the refusal.
func (r *Routing) Admit(account string) *routing.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Admit(time.Now(), account)
}

// Retry decides whether a request to a plain service that failed is sent again.
// It returns nil or the refusal.
func (r *Routing) Retry(failure retry.Failure) *routing.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Retry(time.Now(), failure)
}

// run lets the core's time pass until ctx ends.
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
			r.drain()
			r.mu.Unlock()
		}
	}
}

// drain carries out what the core asks for. The caller holds the mutex.
func (r *Routing) drain() {
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

// call carries one message to another router.
func (r *Routing) call(call routing.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	callType, reply := callTypeOf(call.Message)
	err := r.peers.Call(ctx, call.Address, callType, call.Message, reply)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.node.Unanswered(time.Now(), call.ID, errors.Is(err, syscall.ECONNREFUSED))
	} else {
		r.node.Answered(time.Now(), call.ID, reply)
	}
	r.drain()
}

// callTypeOf returns the type of call for a message and where its reply goes.
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
	panic(errors.AssertionFailedf("message of type %T", message))
}

// register sets the handlers of the calls between routing cores.
func (r *Routing) register(server *peer.Server) {
	server.Register(peer.TypeReserve, deliver[reservation.Request](r))
	server.Register(peer.TypeRegister, deliver[reservation.Registration](r))
	server.Register(peer.TypeRelease, deliver[reservation.Release](r))
	server.Register(peer.TypeInvite, deliver[reservation.Invitation](r))
	server.Register(peer.TypeTotal, deliver[reservation.Total](r))
	server.Register(peer.TypeDemand, deliver[admission.Demand](r))
}

// deliver hands a message of type M to the core.
func deliver[M any](r *Routing) peer.HandlerFunc {
	return func(call frame.Frame) (any, error) {
		message := new(M)
		if err := call.Decode(message); err != nil {
			return nil, err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		reply := r.node.Deliver(time.Now(), message)
		r.drain()
		return reply, nil
	}
}
