package hosted

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianhead/core/process/freshness"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/table"
	"gentianhead/fleet/process/boottime"
)

// arbitraryBeacon draws a beacon that no router would send.
func arbitraryBeacon(t *rapid.T) presence.Beacon {
	key := rapid.Custom(func(t *rapid.T) presence.Key { return presence.Key(rapid.Uint32Max(3).Draw(t, "key")) })
	integer := rapid.OneOf(rapid.IntRange(-2, 3), rapid.Int())
	number := rapid.OneOf(rapid.Uint32Max(3), rapid.Uint32())
	duration := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "duration")) })
	work := rapid.MapOfN(key, rapid.Custom(func(t *rapid.T) presence.Work {
		return presence.Work{Running: integer.Draw(t, "running"), Prefill: integer.Draw(t, "prefill")}
	}), 0, 3)
	keys := rapid.SliceOfN(key, 0, 3)
	outcomes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) presence.Outcomes {
		return presence.Outcomes{Endpoint: key.Draw(t, "endpoint"), Failed: integer.Draw(t, "failed"), Succeeded: integer.Draw(t, "succeeded")}
	}), 0, 3)
	part := rapid.Custom(func(t *rapid.T) presence.PartKey { return presence.PartKey(rapid.Uint64Max(3).Draw(t, "part")) })
	evidence := rapid.Custom(func(t *rapid.T) presence.CrashEvidence {
		return presence.CrashEvidence{
			Crashes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) presence.Crash {
				return presence.Crash{Process: key.Draw(t, "process"), Age: number.Draw(t, "age"), Suspects: []presence.Suspect{{Part: part.Draw(t, "suspect")}}}
			}), 0, 4).Draw(t, "crashes"),
			Served: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) presence.ServedPart {
				return presence.ServedPart{Part: part.Draw(t, "served"), Count: number.Draw(t, "count")}
			}), 0, 3).Draw(t, "served"),
			Verdicts: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) presence.Verdict {
				return presence.Verdict{
					Part: part.Draw(t, "part"), Revision: number.Draw(t, "revision"), IsLifted: rapid.Bool().Draw(t, "isLifted"),
					Crashes: number.Draw(t, "crashes"), Age: number.Draw(t, "age"), MatchedAge: number.Draw(t, "matchedAge"), Period: number.Draw(t, "period"),
				}
			}), 0, 3).Draw(t, "verdicts"),
		}
	})
	var digest *presence.Digest
	if rapid.Bool().Draw(t, "hasDigest") {
		digest = &presence.Digest{
			Work: work.Draw(t, "digestWork"), Unreachable: keys.Draw(t, "digestUnreachable"), Outcomes: outcomes.Draw(t, "digestOutcomes"),
			Reporters: rapid.SliceOfN(integer, 0, 3).Draw(t, "reporters"), CrashEvidence: evidence.Draw(t, "digestEvidence"),
			Age: duration.Draw(t, "digestAge"), Routers: integer.Draw(t, "routers"),
			Members: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) presence.MemberState {
				return presence.MemberState{Peer: key.Draw(t, "peer"), Start: number.Draw(t, "start"), Stamp: number.Draw(t, "stamp"), Age: number.Draw(t, "age")}
			}), 0, 3).Draw(t, "members"),
		}
	}
	text := rapid.SampledFrom([]string{"", "r-1", "127.0.0.1:3", "no address", "a"})
	return presence.Beacon{
		Instance: text.Draw(t, "instance"), Zone: text.Draw(t, "zone"), Address: text.Draw(t, "address"), Peer: text.Draw(t, "peer"),
		Start: int64(integer.Draw(t, "start")), IsServing: rapid.Bool().Draw(t, "isServing"), HasStore: rapid.Bool().Draw(t, "hasStore"),
		LinkMbps: number.Draw(t, "linkMbps"), Version: int64(integer.Draw(t, "version")), Configuration: rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "configuration"),
		EndpointsVersion: rapid.Uint64().Draw(t, "endpointsVersion"), EndpointsHash: rapid.Uint64().Draw(t, "hash"), StoreEra: uint64(number.Draw(t, "era")),
		EndpointChanges: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) table.Row {
			return table.Row{Key: text.Draw(t, "rowKey"), Value: rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "value"), Version: rapid.Uint64().Draw(t, "rowVersion"), IsRemoved: rapid.Bool().Draw(t, "isRemoved")}
		}), 0, 3).Draw(t, "changes"),
		IsSettled: rapid.Bool().Draw(t, "isSettled"), Work: work.Draw(t, "work"), Unreachable: keys.Draw(t, "unreachable"),
		Placed: []presence.Placed{{Part: key.Draw(t, "placedPart"), Endpoint: key.Draw(t, "placedAt")}}, KnowsCaches: rapid.Bool().Draw(t, "knowsCaches"),
		Outcomes: outcomes.Draw(t, "outcomes"), CrashEvidence: evidence.Draw(t, "evidence"), Stamp: duration.Draw(t, "stamp"),
		Echo: freshness.Echo{}, EchoStart: int64(integer.Draw(t, "echoStart")), Mentions: rapid.SliceOfN(text, 0, 3).Draw(t, "mentions"),
		Introduces: rapid.Bool().Draw(t, "introduces"), Group: key.Draw(t, "group"), Digest: digest,
	}
}

// Guards against a beacon that ends each router that receives it, one after the other.
func TestArbitraryBeaconDoesNotEndRouter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, _ := newControlWithPeers(t, rapid.SampledFrom([]int{2, 40}).Draw(rt, "peers"))
		c.state.hasEndpoints = true
		now := boottime.Now()
		for range rapid.IntRange(1, 8).Draw(rt, "beacons") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond
			c.handleBeacon(now, arbitraryBeacon(rt))
			c.sendRound(now)
			c.balancer.Tick()
			c.publishLive(now)
		}
	})
}
