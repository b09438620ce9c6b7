package instances

import (
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/table"
	"gentianhead/core/process/table/tabletest"
)

func TestListRegisterAndRemove(t *testing.T) {
	rows := tabletest.New()
	list := NewList(rows)
	router := Instance{Name: "r-1", Zone: "a", Role: RoleRouter, PeerAddress: "127.0.0.1:1"}
	assert.NilError(t, list.Register(t.Context(), router))
	assert.NilError(t, list.Register(t.Context(), Instance{Name: "e-1", Role: RoleEndpoint}))
	assert.NilError(t, list.Remove(t.Context(), "e-1"))
	all, unreadable, err := list.All(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, unreadable, 0)
	assert.DeepEqual(t, all, []Instance{router})
}

// Guards against one undecodable entry that makes the whole list unreadable.
func TestListAllUnreadableEntry(t *testing.T) {
	rows := tabletest.New()
	list := NewList(rows)
	assert.NilError(t, list.Register(t.Context(), Instance{Name: "r-1"}))
	_, err := rows.Commit(t.Context(), table.Transaction{Puts: []table.Put{{Key: "broken", Value: []byte("{")}}})
	assert.NilError(t, err)
	all, unreadable, err := list.All(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, unreadable, 1)
	assert.Equal(t, len(all), 1)
}
