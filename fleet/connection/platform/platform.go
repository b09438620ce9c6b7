// Package platform talks to the platform's services: the transactional table
// service, the object store and the list of instances.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"gentianhead/fleet/process/telemetry"
)

// Row is one row of the table service. Version is the number of the commit that
// last wrote it; zero means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Check is a condition of a transaction: the row has exactly this version.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row, or deletes it.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction takes effect whole, if all checks hold, or not at all.
type Transaction struct {
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts"`
}

// CommitResult is what the table service answers to a transaction.
type CommitResult struct {
	// Version is the number of this commit.
	Version uint64 `json:"version"`
	// Conflict names the key whose check failed; nothing was written then.
	Conflict string `json:"conflict,omitempty"`
}

// Instance is an entry of the platform's lagging list.
type Instance struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Role          string `json:"role"`
	Leaving       bool   `json:"leaving,omitempty"`
	CallerAddress string `json:"callerAddress,omitempty"`
	PeerAddress   string `json:"peerAddress,omitempty"`
	URL           string `json:"url,omitempty"`
}

// Roles of instances in the list.
const (
	RoleRouter   = "router"
	RoleEndpoint = "endpoint"
)

var (
	// ErrRefused means that the platform certainly did not carry out the call:
	// it was never sent, or the platform answered that it is down.
	ErrRefused = errors.New("platform: refused")
	// ErrAnswerLost means that a write may or may not have taken effect. Its
	// writer must read back before it writes again.
	ErrAnswerLost = errors.New("platform: answer lost")
)

// Table is the transactional table service.
type Table interface {
	// Commit returns ErrRefused when nothing was written and ErrAnswerLost when
	// that is not known. A failed check is a result, not an error.
	Commit(ctx context.Context, tx Transaction) (CommitResult, error)
	// Read returns one row for each key, in order.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows with this prefix and a key above after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Limits of the client.
const (
	// CallTimeout bounds one call to the platform.
	CallTimeout = 2 * time.Second
	// MaxAnswerBytes is the largest answer that the client reads.
	MaxAnswerBytes = 64 << 20
)

// Client reaches the platform over HTTP with JSON bodies. It is safe for
// concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ Table = (*Client)(nil)

// NewClient returns a client for the platform at base, such as http://10.0.0.1:9000.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: CallTimeout}}
}

type readRequest struct {
	Keys []string `json:"keys"`
}

type scanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

type rowsAnswer struct {
	Rows []Row `json:"rows"`
}

type instancesAnswer struct {
	Instances []Instance `json:"instances"`
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	var result CommitResult
	err := c.call(ctx, http.MethodPost, "/v1/table/commit", tx, &result)
	return result, err
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	var answer rowsAnswer
	err := c.call(ctx, http.MethodPost, "/v1/table/read", readRequest{Keys: keys}, &answer)
	if err == nil && len(answer.Rows) != len(keys) {
		return nil, errors.Newf("platform: %d rows for %d keys", len(answer.Rows), len(keys))
	}
	return answer.Rows, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var answer rowsAnswer
	err := c.call(ctx, http.MethodPost, "/v1/table/scan", scanRequest{prefix, after, limit}, &answer)
	return answer.Rows, err
}

// Instances returns the platform's list, which lags.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var answer instancesAnswer
	err := c.call(ctx, http.MethodGet, "/v1/instances", nil, &answer)
	return answer.Instances, err
}

// RegisterInstance tells the platform that instance runs.
func (c *Client) RegisterInstance(ctx context.Context, instance Instance) error {
	return c.call(ctx, http.MethodPost, "/v1/instances", instance, nil)
}

// PutObject writes an object to the object store.
func (c *Client) PutObject(ctx context.Context, name string, value []byte) error {
	return c.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), json.RawMessage(value), nil)
}

// GetObject reads an object into value.
func (c *Client) GetObject(ctx context.Context, name string, value any) error {
	return c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil, value)
}

// call sends one request. A failure to connect and a 503 are ErrRefused; a
// request that was sent and got no answer is ErrAnswerLost.
func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	ctx, span := telemetry.StartChild(ctx, "platform "+path)
	defer span.End()
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "platform: encode")
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "platform: request")
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	sent := traceSent(request)
	response, err := c.http.Do(sent.request)
	if err != nil {
		if sent.wrote.Load() {
			return errors.Mark(errors.Wrap(err, "platform"), ErrAnswerLost)
		}
		return errors.Mark(errors.Wrap(err, "platform"), ErrRefused)
	}
	defer response.Body.Close()
	return decodeAnswer(response, answer)
}

func decodeAnswer(response *http.Response, answer any) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound, http.StatusBadRequest:
		return errors.Mark(errors.Newf("platform: status %d", response.StatusCode), ErrRefused)
	default:
		return errors.Mark(errors.Newf("platform: status %d", response.StatusCode), ErrAnswerLost)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "platform: read"), ErrAnswerLost)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return errors.Mark(errors.Wrap(err, "platform: decode"), ErrAnswerLost)
	}
	return nil
}
