package hosted

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/table"
)

const (
	// keyQuarantine is the row of tableRouters with the prompt parts in quarantine, for
	// routers that start when no other is left. Its value is no address, so that releases
	// without it ignore it.
	keyQuarantine = "quarantine"
	// quarantineWriteInterval is the least time between two writes of the row.
	quarantineWriteInterval = time.Second
)

// storedVerdict is a verdict in the store's row.
type storedVerdict struct {
	Part     string `json:"part"`
	Revision uint32 `json:"revision"`
	Crashes  uint32 `json:"crashes"`
	// DecidedMs is the time of the decision in Unix milliseconds; the clocks of routers differ.
	DecidedMs int64  `json:"decidedMs"`
	PeriodMs  uint32 `json:"periodMs"`
}

// encodeQuarantine encodes the verdicts that refuse requests.
func encodeQuarantine(now time.Time, verdicts []presence.Verdict) ([]byte, error) {
	stored := make([]storedVerdict, 0, len(verdicts))
	for _, v := range verdicts {
		stored = append(stored, storedVerdict{
			Part: strconv.FormatUint(uint64(v.Part), 16), Revision: v.Revision, Crashes: v.Crashes,
			DecidedMs: now.UnixMilli() - int64(v.Age), PeriodMs: v.Period,
		})
	}
	return json.Marshal(stored)
}

// decodeQuarantine decodes the row. Requests with the parts count as arriving now, since
// the row isn't written for each. Verdicts that can't be read are left out; the error is that
// of the last.
func decodeQuarantine(now time.Time, value []byte) ([]presence.Verdict, error) {
	var stored []json.RawMessage
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, errors.Wrap(err, "row of quarantines")
	}
	var verdicts []presence.Verdict
	var err error
	for _, element := range stored {
		verdict, verdictErr := decodeVerdict(now, element)
		if verdictErr != nil {
			err = errors.Wrap(verdictErr, "row of quarantines")
			continue
		}
		verdicts = append(verdicts, verdict)
	}
	return verdicts, err
}

func decodeVerdict(now time.Time, element json.RawMessage) (presence.Verdict, error) {
	var stored storedVerdict
	if err := json.Unmarshal(element, &stored); err != nil {
		return presence.Verdict{}, err
	}
	part, err := strconv.ParseUint(stored.Part, 16, 64)
	if err != nil {
		return presence.Verdict{}, err
	}
	age := min(max(0, now.UnixMilli()-stored.DecidedMs), int64(stored.PeriodMs))
	return presence.Verdict{
		Part: presence.PartKey(part), Revision: stored.Revision, Crashes: stored.Crashes, Age: uint32(age), Period: stored.PeriodMs,
	}, nil
}

// quarantineWriter keeps the row up to date. One router writes it, on which all agree
// without communication; if they disagree for a moment, the last write wins, and each is
// right.
type quarantineWriter struct {
	// stored identifies the verdicts that the row is assumed to have.
	stored    string
	isWriting bool
	lastWrite time.Duration
	// put writes or deletes the row; nil until the router runs.
	put func(table.Put) error
}

// quarantineWritten is the result of a write.
type quarantineWritten struct {
	verdicts string
	err      error
}

// quarantineRead is the content of the row at this router's start.
type quarantineRead struct{ value []byte }

// identityOf identifies a list of verdicts.
func identityOf(verdicts []presence.Verdict) string {
	slices.SortFunc(verdicts, func(a, b presence.Verdict) int { return cmp.Compare(a.Part, b.Part) })
	var b strings.Builder
	for _, v := range verdicts {
		fmt.Fprintf(&b, "%x.%d ", uint64(v.Part), v.Revision)
	}
	return b.String()
}

// storeQuarantine writes the verdicts if they have changed and this router is the one to
// do so.
func (c *control) storeQuarantine(now time.Duration) {
	w := &c.quarantine
	verdicts := c.balancer.Quarantined()
	current := identityOf(verdicts)
	if current == w.stored || w.isWriting || w.put == nil || !c.hasStore() || now-w.lastWrite < quarantineWriteInterval {
		return
	}
	if !c.writesQuarantine() {
		w.stored = current
		return
	}
	put := table.Put{Key: keyQuarantine, Delete: len(verdicts) == 0}
	if !put.Delete {
		value, err := encodeQuarantine(time.Now(), verdicts)
		if err != nil {
			c.log.Error("The quarantines can't be encoded.", "error", err)
			return
		}
		put.Value = value
	}
	w.isWriting, w.lastWrite = true, now
	write := w.put
	go func() { c.events <- quarantineWritten{verdicts: current, err: write(put)} }()
}

// writesQuarantine reports whether this router writes the row: it ranks first among the
// live routers that reach the store.
func (c *control) writesQuarantine() bool {
	own := entry.Score(keyQuarantine, c.settings.Load().Instance)
	return !slices.ContainsFunc(c.state.live, func(m *presence.Member) bool {
		return m.HasStore && entry.Score(keyQuarantine, m.Instance) > own
	})
}

func (c *control) handleQuarantineWritten(e quarantineWritten) {
	c.quarantine.isWriting = false
	if e.err != nil {
		c.log.Warn("The quarantines can't be stored.", "error", e.err)
		return
	}
	c.quarantine.stored = e.verdicts
}

func (c *control) handleQuarantineRead(e quarantineRead) {
	verdicts, err := decodeQuarantine(time.Now(), e.value)
	if err != nil {
		c.log.Warn("Stored quarantines can't be read.", "error", err)
	}
	c.log.Info("Stored quarantines were read.", "parts", len(verdicts))
	c.quarantine.stored = identityOf(verdicts)
	c.balancer.AdoptQuarantined(verdicts)
}

// putQuarantine writes or deletes the row.
func (r *Router) putQuarantine(ctx context.Context) func(table.Put) error {
	return func(put table.Put) error { return r.putAddress(ctx, put) }
}
