// Package admin serves the operators' resource API. Handlers run on their own
// goroutines; what they change takes effect through the table service.
package admin

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/google/uuid"

	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/platform"
	"gentianhead/fleet/process/control"
	"gentianhead/fleet/version/desired"
)

// Options are what the API needs. All fields are required.
type Options struct {
	Control *control.Loop
	Desired *desired.Store
	// Table holds the claims of at-most-once requests.
	Table platform.Table
	// Token is the operators' bearer token.
	Token string
	Log   *slog.Logger
}

type api struct {
	options Options
}

// Handler returns the HTTP interface for operators, with its OpenAPI document
// at /openapi.json. Every call needs the operators' bearer token.
func Handler(options Options) http.Handler {
	mux := http.NewServeMux()
	a := &api{options: options}
	h := humago.New(mux, huma.DefaultConfig("gentianhead resources", "1"))
	huma.Register(h, huma.Operation{
		OperationID: "list-resources", Method: http.MethodGet, Path: "/v1/resources",
		Summary: "List resources",
	}, a.list)
	huma.Register(h, huma.Operation{
		OperationID: "get-resource", Method: http.MethodGet, Path: "/v1/resources/{kind}/{name}",
		Summary: "Get one resource",
	}, a.get)
	huma.Register(h, huma.Operation{
		OperationID: "put-resource", Method: http.MethodPut, Path: "/v1/resources/{kind}/{name}",
		Summary: "Create or replace a resource",
	}, a.put)
	huma.Register(h, huma.Operation{
		OperationID: "delete-resource", Method: http.MethodDelete, Path: "/v1/resources/{kind}/{name}",
		Summary: "Delete a resource",
	}, a.remove)
	huma.Register(h, huma.Operation{
		OperationID: "watch-changes", Method: http.MethodGet, Path: "/v1/changes",
		Summary: "Wait for changes after a revision",
	}, a.changes)
	huma.Register(h, huma.Operation{
		OperationID: "get-status", Method: http.MethodGet, Path: "/v1/status",
		Summary: "Show which revision is in force on which router",
	}, a.status)
	a.registerClaims(h)
	return requireToken(options.Token, mux)
}

func requireToken(token string, next http.Handler) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "operators' bearer token required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ObjectBody is a resource as operators read and write it.
type ObjectBody struct {
	Kind     resource.Kind      `json:"kind"`
	Name     string             `json:"name"`
	Revision resource.Revision  `json:"revision,omitempty"`
	Deleted  bool               `json:"deleted,omitempty"`
	Endpoint *resource.Endpoint `json:"endpoint,omitempty"`
	Account  *resource.Account  `json:"clientAccount,omitempty"`
	Model    *resource.Model    `json:"model,omitempty"`
	Service  *resource.Service  `json:"service,omitempty"`
}

// PathInput names a resource by the path of a call.
type PathInput struct {
	Kind string `path:"kind" doc:"endpoint, client-account, model or service"`
	Name string `path:"name"`
}

func (in PathInput) key() resource.Key {
	return resource.Key{Kind: resource.Kind(in.Kind), Name: in.Name}
}

// WriteInput holds the headers that every write may carry.
type WriteInput struct {
	IfMatch string `header:"If-Match" doc:"revision that the resource must have; 0 when it must not exist"`
	Attempt string `header:"X-Attempt-Id" doc:"identifies this write; sent again, it takes effect at most once"`
}

type putInput struct {
	PathInput
	WriteInput
	Body ObjectBody
}

type removeInput struct {
	PathInput
	WriteInput
}

type objectOutput struct {
	ETag string `header:"ETag"`
	Body ObjectBody
}

type listInput struct {
	Kind string `query:"kind" doc:"only this kind"`
}

type listOutput struct {
	Body struct {
		Revision resource.Revision `json:"revision"`
		Items    []ObjectBody      `json:"items"`
	}
}

func toBody(o resource.Object) ObjectBody {
	return ObjectBody{o.Kind, o.Name, o.Revision, o.Deleted, o.Endpoint, o.Account, o.Model, o.Service}
}

func (b ObjectBody) object() resource.Object {
	return resource.Object{Kind: b.Kind, Name: b.Name, Deleted: b.Deleted, Endpoint: b.Endpoint, Account: b.Account, Model: b.Model, Service: b.Service}
}

func toOutput(o resource.Object) *objectOutput {
	return &objectOutput{ETag: strconv.Quote(strconv.FormatUint(uint64(o.Revision), 10)), Body: toBody(o)}
}

func (a *api) list(_ context.Context, in *listInput) (*listOutput, error) {
	snapshot := a.options.Control.State().Config
	out := &listOutput{}
	out.Body.Revision = snapshot.Revision()
	out.Body.Items = []ObjectBody{}
	for _, object := range snapshot.List(resource.Kind(in.Kind)) {
		out.Body.Items = append(out.Body.Items, toBody(object))
	}
	return out, nil
}

func (a *api) get(_ context.Context, in *PathInput) (*objectOutput, error) {
	object, ok := a.options.Control.State().Config.Get(resource.Kind(in.Kind), in.Name)
	if !ok {
		return nil, huma.Error404NotFound("no such resource in force on this router")
	}
	return toOutput(object), nil
}

func (a *api) put(ctx context.Context, in *putInput) (*objectOutput, error) {
	object := in.Body.object()
	if object.Key() != in.key() {
		return nil, huma.Error422UnprocessableEntity("kind and name of the body must be those of the path")
	}
	return a.write(ctx, object, in.WriteInput)
}

func (a *api) remove(ctx context.Context, in *removeInput) (*objectOutput, error) {
	object := resource.Object{Kind: resource.Kind(in.Kind), Name: in.Name, Deleted: true}
	return a.write(ctx, object, in.WriteInput)
}

func (a *api) write(ctx context.Context, object resource.Object, in WriteInput) (*objectOutput, error) {
	write := desired.Write{Object: object, Attempt: in.Attempt}
	if write.Attempt == "" {
		write.Attempt = uuid.NewString()
	}
	if in.IfMatch != "" {
		number, err := strconv.ParseUint(strings.Trim(in.IfMatch, `"`), 10, 64)
		if err != nil {
			return nil, huma.Error400BadRequest("If-Match must be a revision, such as \"12\"")
		}
		revision := resource.Revision(number)
		write.IfRevision = &revision
	}
	accepted, err := a.options.Desired.Apply(ctx, write)
	if err != nil {
		return nil, writeError(err)
	}
	a.options.Log.Info("Change accepted.", "revision", accepted.Revision, "kind", accepted.Kind, "name", accepted.Name)
	a.options.Control.Refresh(accepted.Revision)
	return toOutput(accepted), nil
}

func writeError(err error) error {
	var invalid *resource.ValidationError
	switch {
	case errors.As(err, &invalid):
		return huma.Error422UnprocessableEntity(invalid.Error())
	case errors.Is(err, desired.ErrOutcomeUnknown):
		return huma.NewError(http.StatusGatewayTimeout, "outcome unknown: the store did not answer; send the write again with the same X-Attempt-Id")
	case errors.Is(err, desired.ErrConflict):
		return huma.Error412PreconditionFailed("the resource was changed by another writer; read it again")
	case errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrAnswerLost):
		return huma.Error503ServiceUnavailable("not written: the table service is down; come back later")
	}
	return huma.Error500InternalServerError("not written", err)
}

type changesInput struct {
	After uint64 `query:"after" doc:"the last revision that the caller knows"`
	Wait  int    `query:"wait" minimum:"0" maximum:"30" doc:"seconds to wait for a change"`
}

type changesOutput struct {
	Body struct {
		Changes []ObjectBody `json:"changes"`
	}
}

// watchInterval is the time between two looks at the revision in force.
const watchInterval = 50 * time.Millisecond

func (a *api) changes(ctx context.Context, in *changesInput) (*changesOutput, error) {
	deadline := time.Now().Add(time.Duration(in.Wait) * time.Second)
	after := resource.Revision(in.After)
	for a.options.Control.State().Config.Revision() <= after && time.Now().Before(deadline) {
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	out := &changesOutput{}
	out.Body.Changes = []ObjectBody{}
	if a.options.Control.State().Config.Revision() <= after {
		return out, nil
	}
	changes, err := a.options.Desired.Changes(ctx, after)
	if err != nil {
		return nil, huma.Error503ServiceUnavailable("changes not read: the table service is down")
	}
	for _, change := range changes {
		out.Body.Changes = append(out.Body.Changes, toBody(change))
	}
	return out, nil
}

// RouterStatus says what one router has in force.
type RouterStatus struct {
	Instance string            `json:"instance"`
	Zone     string            `json:"zone"`
	Revision resource.Revision `json:"revision"`
	Leaving  bool              `json:"leaving,omitempty"`
}

type statusOutput struct {
	Body struct {
		Routers []RouterStatus `json:"routers"`
	}
}

func (a *api) status(ctx context.Context, _ *struct{}) (*statusOutput, error) {
	revisions := a.options.Control.InForce(ctx)
	out := &statusOutput{}
	for _, router := range a.options.Control.State().View.Routers {
		out.Body.Routers = append(out.Body.Routers, RouterStatus{
			Instance: router.Instance,
			Zone:     router.Zone,
			Revision: revisions[router.Instance],
			Leaving:  router.Leaving,
		})
	}
	return out, nil
}
