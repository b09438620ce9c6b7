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
	// maxSpreadBytes is the largest compressed configuration that beacons carry:
	// half of a datagram, so that the rest of a beacon has room.
	maxSpreadBytes = 16 << 10
	// maxConfigurationBytes bounds what a configuration from a beacon unpacks to:
	// twice what the platform takes as one body.
	maxConfigurationBytes = 8 << 20
)

// spread sends the configuration that has just come in force to all others. Each
// watcher sends it whole to its part of them and the version to the rest. One that
// gets no whole, since a datagram was lost or the configuration is too large, asks
// the store.
func (c *control) spread(now time.Duration, value []byte) {
	packed, err := pack(value)
	if err != nil {
		c.log.Error("The configuration can't be compressed.", "error", err)
	}
	rank, others := c.rankWithStore(c.presence.Live(now))
	rank, count := min(rank, watchers-1), min(others+1, watchers)
	var whole, version []string
	for _, peer := range c.presence.Everyone() {
		if packed != nil && xxhash.Sum64String(peer)%uint64(count) == uint64(rank) {
			whole = append(whole, peer)
		} else {
			version = append(version, peer)
		}
	}
	c.sendBeacons(now, whole, func(b *presence.Beacon) { b.Configuration = packed })
	c.sendBeacons(now, version, nil)
}

// takeConfiguration puts a configuration in force that another router has read.
func (c *control) takeConfiguration(received presence.Beacon) {
	if len(received.Configuration) == 0 || c.state.table != nil && received.Version <= c.state.table.Version {
		return
	}
	value, err := unpack(received.Configuration)
	if err != nil {
		c.log.Warn("A configuration of another router can't be read.", "instance", received.Instance, "error", err)
		return
	}
	c.putInForce(value)
}

// pack compresses a configuration; nil if it is too large for a beacon.
func pack(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if buffer.Len() > maxSpreadBytes {
		return nil, nil
	}
	return buffer.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if len(value) > maxConfigurationBytes {
		return nil, errors.Newf("more than %d bytes", maxConfigurationBytes)
	}
	return value, nil
}
