package claims

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gentianhead/core/process/table"
	"gentianhead/core/request/claim"
)

// run drives the attempt of one request, on its own goroutine.
type run struct {
	manager *Manager
	request ServiceRequest
	// ctx carries the trace and is not canceled with the caller.
	ctx context.Context
	// caller ends at the caller's deadline or when it disconnects.
	caller  context.Context
	rowKey  string
	attempt *claim.Attempt
	result  chan<- claim.Result
	// release ends the exclusive use of the key; later calls have no effect.
	release func()
}

func (m *Manager) newRun(ctx context.Context, request ServiceRequest, result chan<- claim.Result) *run {
	return &run{
		manager: m,
		request: request,
		ctx:     context.WithoutCancel(ctx),
		caller:  ctx,
		rowKey:  RowKey(request.ID),
		result:  result,
		release: sync.OnceFunc(func() { m.release(request.ID) }),
		attempt: claim.New(claim.Request{
			Attempt:     uuid.NewString(),
			Key:         request.ID.Key,
			Holder:      m.holder,
			BodySHA256:  RequestDigest(request),
			IsRepeat:    request.IsRepeat,
			Endpoint:    request.Endpoint,
			EndpointURL: request.EndpointURL,
			IsFenced:    request.IsFenced,
		}),
	}
}

// loop steps the attempt until it is done. callerDone is closed at the caller's
// deadline or when it disconnects.
//
// The key is released before the reply that ends the attempt is delivered, since the
// caller may repeat the request as soon as it has that.
func (r *run) loop(callerDone <-chan struct{}) {
	defer r.release()
	action := r.advance(claim.Started{})
	for action != nil {
		events := make(chan claim.Event, 1)
		go func(action claim.Action) { events <- r.perform(action) }(action)
		var event claim.Event
		select {
		case event = <-events:
		case <-callerDone:
			callerDone = nil
			r.notifyDeadline()
			event = <-events
		}
		action = r.advance(event)
	}
}

// advance passes the event that ends an action to the attempt and returns the next
// action, if any.
func (r *run) advance(event claim.Event) claim.Action {
	next, replies := r.step(event)
	if next == nil {
		r.release()
	}
	r.deliver(replies)
	return next
}

func (r *run) deliver(replies []claim.Result) {
	for _, reply := range replies {
		r.result <- reply
	}
}

// notifyDeadline tells the attempt that the caller waits no longer for its end. When the
// caller disconnected instead, the attempt is not notified and continues.
func (r *run) notifyDeadline() {
	if isAwaited(r.caller) {
		// The action in progress goes on, so the attempt isn't done.
		_, replies := r.step(claim.DeadlinePassed{})
		r.deliver(replies)
	}
}

// step passes an event to the attempt and returns its next action, if any, and its
// replies.
func (r *run) step(event claim.Event) (next claim.Action, replies []claim.Result) {
	r.attempt.Step(time.Now(), event)
	for _, action := range r.attempt.Ready() {
		if reply, ok := action.(claim.Reply); ok {
			replies = append(replies, reply.Result)
			continue
		}
		next = action
	}
	return next, replies
}

func (r *run) perform(action claim.Action) claim.Event {
	switch a := action.(type) {
	case claim.Commit:
		return r.commit(a)
	case claim.Read:
		return r.read()
	case claim.Send:
		return r.send(a)
	case claim.Fence:
		return r.fence(a)
	case claim.Wait:
		time.Sleep(a.For)
	}
	return claim.WaitElapsed{}
}

func (r *run) startSpan(name string) (context.Context, trace.Span) {
	return r.manager.tracer.Start(r.ctx, name, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("request.id", r.request.RequestID)))
}

func (r *run) commit(c claim.Commit) claim.Event {
	ctx, span := r.startSpan("claim write " + string(c.Row.State))
	defer span.End()
	value, err := r.encodeRow(ctx, c.Row)
	if err != nil {
		span.RecordError(err)
		return claim.WriteRefused{}
	}
	return r.manager.writer.Do(Write{Key: r.rowKey, Value: value, Version: c.Version})
}

func (r *run) read() claim.Event {
	ctx, span := r.startSpan("claim read")
	defer span.End()
	rows, err := r.manager.options.Store.Read(ctx, r.rowKey)
	if err != nil {
		span.RecordError(err)
		return claim.ReadFailed{}
	}
	event, err := r.decodeRead(rows[0])
	if err != nil {
		span.RecordError(err)
		r.manager.options.Log.Error("Failed to decode the claim row.", "row", r.rowKey, "error", err)
		return claim.ReadFailed{}
	}
	return event
}

func (r *run) decodeRead(stored table.Row) (claim.RowRead, error) {
	if stored.Version == 0 {
		return claim.RowRead{}, nil
	}
	row, err := DecodeRow(stored.Value)
	if err != nil {
		return claim.RowRead{}, err
	}
	return claim.RowRead{Row: &row, Version: stored.Version, IsHolderLive: r.manager.isHolderLive(row)}, nil
}

// isHolderLive reports whether another router that may still process the row is
// considered live. This router processes one request of a key at a time, so no
// other request processes a row that it holds.
func (m *Manager) isHolderLive(row claim.Row) bool {
	if row.Holder == m.holder || time.Since(time.UnixMilli(row.CreatedMs)) > claim.HolderTimeout {
		return false
	}
	for _, router := range m.options.View().Routers {
		if holderName(router) == row.Holder {
			return true
		}
	}
	return false
}
