package admin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/google/uuid"

	"gentianhead/core/version/resource"
	"gentianhead/fleet/version/desired"
)

const (
	compactTimeout = time.Minute
	// retryAfterSeconds is the Retry-After value of errors from unavailable.
	retryAfterSeconds = "2"
)

// WriteInput contains the optional headers of every write.
type WriteInput struct {
	IfMatch string `header:"If-Match" doc:"revision that the resource must have; 0 when it must not exist"`
	Attempt string `header:"X-Attempt-Id" maxLength:"128" doc:"identifies this write; sent again, it takes effect at most once"`
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

type acceptedOutput struct {
	ETag string `header:"ETag"`
	Body AcceptedBody
}

func (a *api) put(ctx context.Context, in *putInput) (*acceptedOutput, error) {
	object := toObject(in.Body)
	if object.Key() != in.key() {
		return nil, huma.Error422UnprocessableEntity("kind and name in the body must match the path")
	}
	if in.Body.Deleted {
		return nil, huma.Error422UnprocessableEntity("use DELETE to delete a resource")
	}
	if in.IfMatch == "" && in.Body.Revision != 0 {
		in.IfMatch = etag(in.Body.Revision)
	}
	return a.write(ctx, object, in.WriteInput)
}

func (a *api) remove(ctx context.Context, in *removeInput) (*acceptedOutput, error) {
	object := resource.Object{Kind: resource.Kind(in.Kind), Name: in.Name, Deleted: true}
	return a.write(ctx, object, in.WriteInput)
}

func (a *api) write(ctx context.Context, object resource.Object, in WriteInput) (*acceptedOutput, error) {
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
	a.options.Control.NotifyRevision(accepted.Revision)
	if desired.IsCompactionDue(accepted.Revision) {
		go a.compact(context.WithoutCancel(ctx))
	}
	warnings := a.options.Control.State().Config.Warnings(accepted)
	return &acceptedOutput{ETag: etag(accepted.Revision), Body: AcceptedBody{toBody(accepted), warnings}}, nil
}

// compact removes old changes. If it fails, the router that writes a later
// revision continues it.
func (a *api) compact(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, compactTimeout)
	defer cancel()
	if err := a.options.Desired.Compact(ctx); err != nil {
		a.options.Log.Warn("Compaction failed.", "error", err)
	}
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
	case errors.Is(err, desired.ErrNotFound):
		return huma.Error404NotFound("no such resource")
	case errors.Is(err, desired.ErrAttemptReused):
		return huma.Error409Conflict("X-Attempt-Id belongs to another write; choose a new one")
	case errors.Is(err, desired.ErrNotWritten):
		return unavailable("not written: the table service is unavailable or busy; retry later")
	}
	return huma.Error500InternalServerError("not written", err)
}

// unavailable returns a 503 error with a Retry-After header.
func unavailable(detail string) error {
	return huma.ErrorWithHeaders(huma.Error503ServiceUnavailable(detail), http.Header{"Retry-After": {retryAfterSeconds}})
}
