package engine

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// fakeGate returns its errors from Admit in order and repeats the last one.
type fakeGate struct {
	errors         []error
	calls          int
	refusedAddress string
}

func (g *fakeGate) Admit(string) error {
	err := g.errors[min(g.calls, len(g.errors)-1)]
	g.calls++
	return err
}

func (g *fakeGate) Refused(address string) { g.refusedAddress = address }

// Guards against new work that reaches an endpoint although the gate refuses it,
// before the request or only after the connection was dialed.
func TestClientDoGateRefuses(t *testing.T) {
	var served atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.WriteHeader(http.StatusGone)
	}))
	defer server.Close()
	do := func(gate *fakeGate, ungated bool) error {
		client := NewClient()
		defer client.Close()
		client.SetGate(gate)
		_, err := client.Do(t.Context(), Request{Method: http.MethodPost, URL: server.URL + "/x", ID: "id", Ungated: ungated})
		return err
	}

	// Refused before dialing, and refused after it.
	for _, errs := range [][]error{{ErrWithdrawn}, {nil, ErrWithdrawn}, {ErrIsolated}, {nil, ErrIsolated}} {
		err := do(&fakeGate{errors: errs}, false)
		assert.ErrorIs(t, err, ErrNotSent)
		assert.ErrorIs(t, err, errs[len(errs)-1])
	}
	assert.Equal(t, served.Load(), int32(0))

	closed := &fakeGate{errors: []error{ErrWithdrawn}}
	assert.ErrorIs(t, do(closed, true), ErrWithdrawn)
	assert.Equal(t, served.Load(), int32(1))

	open := &fakeGate{errors: []error{nil}}
	assert.ErrorIs(t, do(open, false), ErrWithdrawn)
	assert.Equal(t, "http://"+open.refusedAddress, server.URL)
}
