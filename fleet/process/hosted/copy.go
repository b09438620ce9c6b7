package hosted

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/presence"
	"gentianhead/core/version/catchup"
	"gentianhead/fleet/connection/transport"
	"gentianhead/fleet/process/boottime"
)

const (
	// copyPath is the path at a router's address for other routers, over TCP, that returns
	// its configuration, gzipped. afterParameter is the version that the caller has.
	copyPath       = "/configuration"
	afterParameter = "after"
	// copyDialTimeout, copyReadTimeout and copyTimeout bound the opening of a connection, the
	// time without a further byte, and a whole copy.
	copyDialTimeout = 500 * time.Millisecond
	copyReadTimeout = time.Second
	copyTimeout     = 4 * time.Second
	// maxCopyBytes limits a compressed configuration.
	maxCopyBytes = 4 << 20
	// mbpsPerCopy is the share of this router's link for each copy that it serves at a time:
	// with more at once, each would be served later. maxCopies limits their number.
	mbpsPerCopy = 10
	maxCopies   = 32
	// maxCopyConnections limits the connections of routers that ask for copies.
	maxCopyConnections = 256
)

// errBusy means that a router serves as many copies as it may.
var errBusy = errors.New("the router serves as many copies as it may")

// encodedConfiguration is a configuration as it is passed on to other routers. It is
// immutable.
type encodedConfiguration struct {
	version int64
	// compressed returns the gzipped configuration.
	compressed func() ([]byte, error)
}

func newEncodedConfiguration(version int64, value []byte) *encodedConfiguration {
	return &encodedConfiguration{version, sync.OnceValues(func() ([]byte, error) { return compress(value) })}
}

// newCopiedConfiguration returns a configuration that was received in compressed form.
func newCopiedConfiguration(version int64, compressed []byte) *encodedConfiguration {
	return &encodedConfiguration{version, func() ([]byte, error) { return compressed, nil }}
}

// copyServer returns the handler that serves copies of the configuration to other routers.
func (r *Router) copyServer() http.Handler {
	slots := make(chan struct{}, min(max(int(r.settings.LinkMbps/mbpsPerCopy), 1), maxCopies))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+copyPath, func(w http.ResponseWriter, request *http.Request) {
		after, err := strconv.ParseInt(request.URL.Query().Get(afterParameter), 10, 64)
		if err != nil {
			http.Error(w, afterParameter+" is not a version", http.StatusBadRequest)
			return
		}
		encoded := r.control.current.Load().configuration
		if encoded == nil || encoded.version <= after {
			http.Error(w, "no newer configuration", http.StatusNotFound)
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
			return
		}
		compressed, err := encoded.compressed()
		if err != nil {
			r.log.Error("The configuration can't be compressed.", "version", encoded.version, "error", err)
			http.Error(w, "internal error", http.StatusInternalServerError)
			return
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(copyTimeout))
		w.Header().Set("Content-Type", "application/gzip")
		w.Header().Set("Content-Length", strconv.Itoa(len(compressed)))
		// A caller that gives up asks elsewhere.
		_, _ = w.Write(compressed)
	})
	return mux
}

// serveCopies serves copies of the configuration at this router's address for others. A
// listen error is only logged, since callers can be served without.
func (r *Router) serveCopies() {
	listener, err := net.Listen("tcp", r.settings.Peers.String())
	if err != nil {
		r.log.Warn("The listener for copies of the configuration can't be opened.", "address", r.settings.Peers.String(), "error", err)
		return
	}
	go func() {
		if err := r.copies.Serve(listener); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			r.log.Warn("Serving copies of the configuration ended.", "error", err)
		}
	}()
}

// configurationCopied is the event that a copy from another router has ended.
type configurationCopied struct {
	from              string
	value, compressed []byte
	err               error
	took              time.Duration
}

// copier copies configurations from other routers.
type copier struct{ http *http.Client }

func newCopier() copier {
	dialer := &net.Dialer{Timeout: copyDialTimeout}
	return copier{&http.Client{Timeout: copyTimeout, Transport: transport.Guard(&http.Transport{
		DialContext:            dialWithReadTimeout(dialer, copyReadTimeout),
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})}}
}

// copyFrom copies the configuration of the router at address if that is newer than after.
func (c copier) copyFrom(address string, after int64) configurationCopied {
	startedAt := boottime.Now()
	copied := configurationCopied{from: address}
	copied.compressed, copied.err = c.download(address, after)
	if copied.err == nil {
		copied.value, copied.err = decompress(copied.compressed)
	}
	copied.took = boottime.Now() - startedAt
	return copied
}

func (c copier) download(address string, after int64) ([]byte, error) {
	target := url.URL{Scheme: "http", Host: address, Path: copyPath, RawQuery: url.Values{afterParameter: {strconv.FormatInt(after, 10)}}.Encode()}
	response, err := c.http.Get(target.String())
	if err != nil {
		return nil, errors.Wrap(err, "copy")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return nil, errBusy
	default:
		return nil, errors.Newf("copy: status %d", response.StatusCode)
	}
	var compressed bytes.Buffer
	if _, err := io.Copy(&compressed, io.LimitReader(response.Body, maxCopyBytes+1)); err != nil {
		return nil, errors.Wrapf(err, "copy: %d bytes received", compressed.Len())
	}
	if compressed.Len() > maxCopyBytes {
		return nil, errors.Newf("copy: more than %d bytes", maxCopyBytes)
	}
	return compressed.Bytes(), nil
}

// catchUpWithFleet gets a configuration that another of the live routers already has.
func (c *control) catchUpWithFleet(now time.Duration, live []*presence.Member) {
	var peers []catchup.Peer
	own := c.version()
	for _, member := range live {
		if member.Version > own {
			peers = append(peers, catchup.Peer{Address: member.Peer, Zone: member.Zone, Version: member.Version})
		}
	}
	decision := c.catchup.Step(now, own, peers)
	if since, isBehind := c.catchup.BehindSince(); isBehind != c.state.isBehind || since != c.state.behindSince {
		c.state.isBehind, c.state.behindSince = isBehind, since
		c.publish()
	}
	if decision.ReadStore {
		c.readConfiguration(now, "another router has a newer version")
	}
	if decision.CopyFrom != "" {
		go func() { c.events <- c.copier.copyFrom(decision.CopyFrom, own) }()
	}
}

func (c *control) handleCopied(now time.Duration, copied configurationCopied) {
	before := c.version()
	if copied.err == nil {
		_, copied.err = c.activateConfiguration(copied.value, copied.compressed)
	}
	result := catchup.Copied
	switch {
	case errors.Is(copied.err, errBusy):
		result = catchup.Busy
	case copied.err != nil:
		result = catchup.Failed
	}
	c.catchup.CopyDone(now, copied.from, result)
	c.log.Info("Copied the configuration from another router.", "from", copied.from, "took", copied.took,
		"bytes", len(copied.compressed), "version", c.version(), "before", before, "error", copied.err)
	if c.version() > before {
		// Routers that are behind can now copy from this one.
		c.sendBeacons(now, c.presence.Direct(), nil)
	}
}

// version returns the version of the configuration in force, zero if there is none.
func (c *control) version() int64 {
	if c.state.table == nil {
		return 0
	}
	return c.state.table.Version
}

// dialWithReadTimeout returns a function that opens connections on which each read must return
// within limit.
func dialWithReadTimeout(dialer *net.Dialer, limit time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return readTimeoutConn{conn, limit}, nil
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

type readTimeoutConn struct {
	net.Conn
	limit time.Duration
}

// Read implements net.Conn.
func (c readTimeoutConn) Read(buffer []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}
