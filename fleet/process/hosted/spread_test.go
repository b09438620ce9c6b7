package hosted

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/presence"
	"gentianhead/fleet/connection/beacon"
	"gentianhead/fleet/process/boottime"
)

func TestCompressedConfigurationRoundTrip(t *testing.T) {
	value := bytes.Repeat([]byte(`{"Name":"orders"},`), 5000)
	compressed, err := compress(value)
	assert.NilError(t, err)
	assert.Assert(t, len(compressed) > 0 && len(compressed) <= maxBroadcastBytes)
	got, err := decompress(compressed)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, value))
}

// Guards against a configuration that no datagram can hold in a beacon, which then carries
// no news at all.
func TestLargeConfigurationNotSentInBeacon(t *testing.T) {
	c, _ := newControlWithPeers(t, 1)
	for i, isSendable := range []bool{true, false} {
		value, err := json.Marshal(largeConfiguration(2+i, 10+6000*i))
		assert.NilError(t, err)
		_, err = c.activateConfiguration(value, nil)
		assert.NilError(t, err)
		compressed, err := c.state.configuration.compressed()
		assert.NilError(t, err)
		assert.Equal(t, len(compressed) <= maxBroadcastBytes, isSendable)
		assert.Equal(t, c.sendable() != nil, isSendable)
	}
}

func TestDecompressConfigurationLimit(t *testing.T) {
	var bomb bytes.Buffer
	compressed, err := compress(make([]byte, maxConfigurationBytes))
	assert.NilError(t, err)
	bomb.Write(compressed)
	bomb.Write(compressed)
	_, err = decompress(bomb.Bytes())
	assert.ErrorContains(t, err, "more than")
	_, err = decompress([]byte("no gzip"))
	assert.Assert(t, err != nil)
}

// Guards against a router that the store refuses and that keeps an older configuration: a
// watcher that activated the newer one before it became a watcher never sent it.
func TestConfigurationSentToRouterWithoutStore(t *testing.T) {
	for _, hasStore := range []bool{false, true} {
		c, _ := newControlWithPeers(t, 2)
		_, err := c.activateConfiguration(encodeConfiguration(t, 2), nil)
		assert.NilError(t, err)
		peer, err := beacon.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		assert.NilError(t, err)
		t.Cleanup(peer.Close)
		sent := make(chan presence.Beacon, 100)
		go peer.Receive(func(b presence.Beacon) { sent <- b })
		for range 3 {
			c.handleBeacon(boottime.Now(), presence.Beacon{Instance: "behind", Peer: peer.Address(), Start: 1, Version: 1, HasStore: hasStore})
		}
		received := 0
		for range 20 {
			select {
			case b := <-sent:
				if len(b.Configuration) > 0 {
					received++
				}
			case <-time.After(10 * time.Millisecond):
			}
		}
		want := 1
		if hasStore {
			want = 0
		}
		assert.Equal(t, received, want, "the router has the store: %v", hasStore)
	}
}
