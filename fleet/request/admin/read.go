package admin

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"

	"gentianhead/core/version/resource"
	"gentianhead/fleet/version/desired"
)

// PathInput identifies a resource by the path of a call.
type PathInput struct {
	Kind string `path:"kind" enum:"endpoint,client-account,model,service"`
	Name string `path:"name"`
}

func (in PathInput) key() resource.Key {
	return resource.Key{Kind: resource.Kind(in.Kind), Name: in.Name}
}

type objectOutput struct {
	ETag string `header:"ETag"`
	Body ObjectBody
}

type listInput struct {
	Kind string `query:"kind" enum:"endpoint,client-account,model,service" doc:"only this kind"`
}

type listOutput struct{ Body ListBody }

func (a *api) list(_ context.Context, in *listInput) (*listOutput, error) {
	snapshot := a.options.Control.State().Config
	items := toBodies(snapshot.List(resource.Kind(in.Kind)))
	return &listOutput{ListBody{Revision: snapshot.Revision(), Items: items}}, nil
}

func (a *api) get(_ context.Context, in *PathInput) (*objectOutput, error) {
	object, ok := a.options.Control.State().Config.Get(resource.Kind(in.Kind), in.Name)
	if !ok {
		return nil, huma.Error404NotFound("no such resource in force on this router")
	}
	return &objectOutput{ETag: etag(object.Revision), Body: toBody(object)}, nil
}

type changesInput struct {
	After uint64 `query:"after" doc:"the last revision that the caller knows"`
	Wait  int    `query:"wait" minimum:"0" maximum:"30" doc:"seconds to wait for a change"`
}

type changesOutput struct{ Body ChangesBody }

// changes returns recent changes from this router's history and older ones from
// the store. Only changes in force on this router are returned.
func (a *api) changes(ctx context.Context, in *changesInput) (*changesOutput, error) {
	after := resource.Revision(in.After)
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(in.Wait)*time.Second)
	defer cancel()
	a.options.Control.AwaitRevision(waitCtx, after)
	changes, ok := a.options.Control.History().After(after)
	if ok {
		return &changesOutput{ChangesBody{toBodies(changes)}}, nil
	}
	changes, err := a.options.Desired.Changes(ctx, after)
	var compacted *desired.CompactedError
	if errors.As(err, &compacted) {
		return nil, huma.Error410Gone(
			"changes after this revision are no longer kept: list the resources and watch from the list's revision",
			&huma.ErrorDetail{Message: "oldest revision whose change is kept", Location: "query.after", Value: compacted.Oldest},
		)
	}
	if err != nil {
		return nil, unavailable("changes not read: the table service is unavailable")
	}
	inForce := a.options.Control.State().Config.Revision()
	changes = slices.DeleteFunc(changes, func(o resource.Object) bool { return o.Revision > inForce })
	return &changesOutput{ChangesBody{toBodies(changes)}}, nil
}

type statusOutput struct{ Body StatusBody }

func (a *api) status(ctx context.Context, _ *struct{}) (*statusOutput, error) {
	routers, err := a.options.Control.ActiveRevisions(ctx)
	if err != nil {
		return nil, unavailable("the control loop did not answer")
	}
	body := StatusBody{Routers: make([]RouterStatus, 0, len(routers))}
	for i, router := range routers {
		status := RouterStatus{
			Instance: router.Instance, Zone: router.Zone, Revision: router.Revision,
			Unreachable: !router.IsReachable, Leaving: router.IsLeaving,
		}
		body.Routers = append(body.Routers, status)
		counted := status.Revision
		if status.Unreachable {
			counted = 0
		}
		if i == 0 || counted < body.InForceEverywhere {
			body.InForceEverywhere = counted
		}
	}
	return &statusOutput{body}, nil
}
