package gossip_test

import (
	"gentianhead/core/process/gossip"
	"gentianhead/core/process/gossip/gossiptest"
)

func leave(f *gossiptest.Fleet, i int) {
	f.Routers[i].Core.Step(gossip.Leave{At: f.Now})
}

func refuse(f *gossiptest.Fleet, i int) {
	f.Routers[i].Core.Step(gossip.Refused{At: f.Now, Address: endpoint})
}
