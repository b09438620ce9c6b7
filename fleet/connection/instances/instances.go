// Package instances stores the list of running instances, from which routers
// discover each other and endpoints, in a table of the platform's store.
package instances

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/table"
)

// TableName is the table with one row per instance, keyed by its name.
const TableName = "instances"

// Instance describes a running router, which sets the two addresses, or an
// endpoint, which sets URL.
type Instance struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Role          string `json:"role"`
	Leaving       bool   `json:"leaving,omitempty"`
	CallerAddress string `json:"callerAddress,omitempty"`
	PeerAddress   string `json:"peerAddress,omitempty"`
	URL           string `json:"url,omitempty"`
}

// Roles of instances.
const (
	RoleRouter   = "router"
	RoleEndpoint = "endpoint"
)

// List reads and changes the list. It is safe for concurrent use.
type List struct {
	table table.Table
}

// NewList returns the list stored in a table.
func NewList(rows table.Table) *List { return &List{table: rows} }

// Register writes the entry of an instance.
func (l *List) Register(ctx context.Context, instance Instance) error {
	value, err := json.Marshal(instance)
	if err != nil {
		return errors.Wrap(err, "instances: encode entry")
	}
	return l.put(ctx, table.Put{Key: instance.Name, Value: value})
}

// Remove deletes the entry of an instance.
func (l *List) Remove(ctx context.Context, name string) error {
	return l.put(ctx, table.Put{Key: name, Delete: true})
}

func (l *List) put(ctx context.Context, put table.Put) error {
	_, err := l.table.Commit(ctx, table.Transaction{Puts: []table.Put{put}})
	return errors.Wrap(err, "instances")
}

// All returns the instances. Entries that can't be decoded are skipped and counted.
func (l *List) All(ctx context.Context) (all []Instance, unreadable int, err error) {
	rows, err := l.table.Scan(ctx, "", "", 0)
	if err != nil {
		return nil, 0, errors.Wrap(err, "instances")
	}
	for _, row := range rows {
		var instance Instance
		if err := json.Unmarshal(row.Value, &instance); err != nil {
			unreadable++
			continue
		}
		all = append(all, instance)
	}
	return all, unreadable, nil
}
