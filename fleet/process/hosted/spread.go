package hosted

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gentianhead/core/process/presence"
)

const (
	// maxBroadcastBytes is the largest compressed configuration sent in a beacon:
	// half a datagram, which leaves room for the rest of the beacon.
	maxBroadcastBytes = 16 << 10
	// maxConfigurationBytes limits the decompressed size of a configuration from a
	// beacon: twice the largest body that the platform accepts.
	maxConfigurationBytes = 8 << 20
)

// broadcastConfiguration sends a newly activated configuration to all other routers.
// Each watcher sends the full configuration to its share of them and the version to
// the rest. A router that doesn't receive it, because a datagram was lost or the
// configuration is too large, reads it from the store.
func (c *control) broadcastConfiguration(now time.Duration, value []byte) {
	compressed, err := compress(value)
	if err != nil {
		c.log.Error("The configuration can't be compressed.", "error", err)
	}
	rank, others := c.rankWithStore(c.presence.Live(now))
	rank, count := min(rank, maxWatchers-1), min(others+1, maxWatchers)
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

// adoptConfiguration activates a configuration received from another router.
func (c *control) adoptConfiguration(received presence.Beacon) {
	if len(received.Configuration) == 0 || c.state.table != nil && received.Version <= c.state.table.Version {
		return
	}
	value, err := decompress(received.Configuration)
	if err != nil {
		c.log.Warn("The configuration from another router can't be decompressed.", "instance", received.Instance, "error", err)
		return
	}
	c.activateConfiguration(value)
}

// compress returns the gzipped configuration, or nil if it is too large for a beacon.
func compress(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if buffer.Len() > maxBroadcastBytes {
		return nil, nil
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
