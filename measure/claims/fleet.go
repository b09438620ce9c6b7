package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/core/process/table"
	"gentianhead/core/process/table/tabletest"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/request/claims"
)

// store is an in-memory table that delays each commit and read by storeLatency.
type store struct {
	table   *tabletest.Memory
	commits atomic.Int64
}

func (s *store) reset()       { s.commits.Store(0) }
func (s *store) count() int64 { return s.commits.Load() }

func (s *store) Commit(ctx context.Context, tx table.Transaction) (table.CommitResult, error) {
	time.Sleep(storeLatency)
	s.commits.Add(1)
	return s.table.Commit(ctx, tx)
}

func (s *store) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	time.Sleep(storeLatency)
	return s.table.Read(ctx, keys...)
}

func (s *store) Scan(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }
func (s *store) PutObject(context.Context, string, []byte) error                { return nil }
func (s *store) GetObject(context.Context, string) ([]byte, error)              { return nil, nil }

// fleet runs several routers against one store and one endpoint.
type fleet struct {
	store    *store
	managers []*claims.Manager
	plain    *engine.Client
	endpoint *httptest.Server
	pools    []*peer.Pool
	servers  []*peerServer

	mu         sync.Mutex
	executions map[string]int
}

func newFleet() *fleet {
	f := &fleet{
		store: &store{table: tabletest.New()}, plain: engine.NewClient(), executions: make(map[string]int),
	}
	f.endpoint = httptest.NewServer(http.HandlerFunc(f.serve))
	view := &membership.View{}
	for i := range routers {
		server := newPeerServer()
		f.servers = append(f.servers, server)
		view.Routers = append(view.Routers, membership.Router{Instance: fmt.Sprintf("router-%d", i), Incarnation: 1, PeerAddress: server.address()})
	}
	for i, router := range view.Routers {
		f.pools = append(f.pools, peer.NewPool([]byte("measure")))
		m := claims.New(claims.Options{
			Self: router, Store: f.store, Peers: f.pools[i], Engine: engine.NewSingleUseClient(),
			View:        func() *membership.View { return view },
			SendTimeout: time.Minute,
			Log:         slog.New(slog.DiscardHandler),
		})
		f.managers = append(f.managers, m)
		f.servers[i].start(m)
	}
	return f
}

// serve counts the executions of each key and responds immediately.
func (f *fleet) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if key := r.Header.Get(engine.HeaderIdempotencyKey); key != "" {
		f.mu.Lock()
		f.executions[key]++
		f.mu.Unlock()
	}
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	_, _ = w.Write([]byte(`{"confirmed":true}`))
}

func (f *fleet) duplicateExecutions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	duplicates := 0
	for _, count := range f.executions {
		if count > 1 {
			duplicates++
		}
	}
	return duplicates
}

func (f *fleet) close() {
	for _, m := range f.managers {
		m.Close(context.Background())
	}
	for _, pool := range f.pools {
		pool.Close()
	}
	for _, server := range f.servers {
		server.close()
	}
	f.endpoint.Close()
}

// peerServer is the router-to-router listener of one router.
type peerServer struct {
	listener net.Listener
	server   *peer.Server
}

func newPeerServer() *peerServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return &peerServer{listener: listener, server: peer.NewServer([]byte("measure"), slog.New(slog.DiscardHandler))}
}

func (p *peerServer) address() string {
	return p.listener.Addr().String()
}

func (p *peerServer) start(m *claims.Manager) {
	m.Register(p.server)
	go p.server.Serve(p.listener)
}

func (p *peerServer) close() {
	_ = p.listener.Close()
	p.server.Close()
}
