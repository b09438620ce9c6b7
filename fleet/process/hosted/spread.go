package hosted

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/staleness"
)

const (
	// maxBroadcastBytes is the largest compressed configuration sent in a beacon:
	// half a datagram, which leaves room for the rest of the beacon.
	maxBroadcastBytes = 16 << 10
	// maxConfigurationBytes limits the decompressed size of a configuration from a
	// beacon: twice the largest body that the platform accepts.
	maxConfigurationBytes = 8 << 20
	// shareInterval is the minimum time between two sends of the configuration to the
	// same router that can't read it from the store.
	shareInterval = time.Second
)

// broadcastConfiguration sends a newly activated configuration to the other routers.
// In a fleet without groups, each watcher sends the full configuration to its share of
// them and the version to the rest. In one with groups, each watcher sends it to its
// neighbors, which pass it on to their groups. A router that doesn't receive it, because
// a datagram was lost or the configuration is too large, copies it from one that has it.
func (c *control) broadcastConfiguration(now time.Duration) {
	compressed := c.sendable()
	if c.presence.Group() != 0 {
		c.sendBeacons(now, c.neighbors(now), func(b *presence.Beacon) { b.Configuration = compressed })
		return
	}
	rank, others := staleness.Rank(c.watchPeers(c.presence.Live(now)))
	rank, count := min(rank, staleness.MaxWatchers-1), min(others+1, staleness.MaxWatchers)
	var fullRecipients, versionRecipients []string
	for _, peer := range c.presence.MemberAddresses() {
		if compressed != nil && xxhash.Sum64String(peer)%uint64(count) == uint64(rank) {
			fullRecipients = append(fullRecipients, peer)
		} else {
			versionRecipients = append(versionRecipients, peer)
		}
	}
	c.sendBeacons(now, fullRecipients, func(b *presence.Beacon) { b.Configuration = compressed })
	c.sendBeacons(now, versionRecipients, nil)
}

// adoptConfiguration activates a configuration received from another router. If that is
// in another group, it passes the configuration on to its own.
func (c *control) adoptConfiguration(now time.Duration, received presence.Beacon) {
	if len(received.Configuration) == 0 || c.state.table != nil && received.Version <= c.state.table.Version {
		return
	}
	value, err := decompress(received.Configuration)
	if err != nil {
		c.log.Warn("The configuration from another router can't be decompressed.", "instance", received.Instance, "error", err)
		return
	}
	if _, err := c.activateConfiguration(value, received.Configuration); err == nil && !c.presence.CountsDirectly(&received) {
		c.sendBeacons(now, c.presence.Direct(), func(b *presence.Beacon) { b.Configuration = received.Configuration })
	}
}

// shareConfiguration sends the configuration in force to a router with an older one that
// can't read it from the store: the store refuses that router or has lost it. Of the
// routers that hear it, the first by rendezvous hash does so.
func (c *control) shareConfiguration(now time.Duration, received presence.Beacon) {
	if c.state.table == nil || received.Version >= c.state.table.Version {
		return
	}
	isLost := c.sync.era > c.tableEra
	if received.HasStore && !isLost || !c.presence.CountsDirectly(&received) {
		return
	}
	own := entry.Score(received.Instance, c.settings.Load().Instance)
	for _, member := range c.presence.Live(now) {
		hears := c.presence.CountsDirectly(&member.Beacon)
		if hears && member.Version >= c.state.table.Version && entry.Score(received.Instance, member.Instance) > own {
			return
		}
	}
	if at, wasShared := c.sharedAt[received.Peer]; wasShared && now-at < shareInterval {
		return
	}
	c.sharedAt[received.Peer] = now
	compressed := c.sendable()
	if compressed == nil {
		// That router copies it.
		return
	}
	c.sendBeacons(now, []string{received.Peer}, func(b *presence.Beacon) { b.Configuration = compressed })
}

// sendable returns the gzipped configuration in force, or nil if it is too large for a
// beacon.
func (c *control) sendable() []byte {
	compressed, err := c.state.configuration.compressed()
	if err != nil {
		c.log.Error("The configuration can't be compressed.", "version", c.state.configuration.version, "error", err)
		return nil
	}
	if len(compressed) > maxBroadcastBytes {
		return nil
	}
	return compressed
}

// compress returns the gzipped configuration.
func compress(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	return buffer.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if len(value) > maxConfigurationBytes {
		return nil, errors.Newf("decompressed configuration has more than %d bytes", maxConfigurationBytes)
	}
	return value, nil
}
