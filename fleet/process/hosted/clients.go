package hosted

import (
	"gentianhead/fleet/connection/transport"
	"gentianhead/platform"
)

// newStore returns a client for the store at address, a host:port.
func newStore(address string) *platform.Store {
	return platform.NewStore("http://"+address, transport.Guard)
}

func newEngineClient() *platform.EngineClient { return platform.NewEngineClient(transport.Guard) }
