package config

import "gentianhead/core/version/resource"

// MaxRecentChanges is the number of changes that a router keeps to answer its peers.
const MaxRecentChanges = 256

// History is the configuration in force with its latest changes. It is immutable
// and safe for concurrent use.
type History struct {
	snapshot *resource.Snapshot
	recent   []resource.Object
}

// newHistory drops the recent changes unless they end at the snapshot's revision.
func newHistory(snapshot *resource.Snapshot, recent []resource.Object) *History {
	if n := len(recent); n > 0 && recent[n-1].Revision != snapshot.Revision() {
		recent = nil
	}
	return &History{snapshot: snapshot, recent: recent}
}

// Snapshot returns the configuration in force.
func (h *History) Snapshot() *resource.Snapshot {
	return h.snapshot
}

// After returns the changes after a revision, or false when some are no longer
// kept and the whole configuration must be sent.
func (h *History) After(revision resource.Revision) ([]resource.Object, bool) {
	if revision >= h.snapshot.Revision() {
		return nil, true
	}
	if len(h.recent) == 0 || h.recent[0].Revision > revision+1 {
		return nil, false
	}
	return h.recent[revision+1-h.recent[0].Revision:], true
}

// appendRecent copies, as readers may share the backing array of recent.
func appendRecent(recent, changes []resource.Object) []resource.Object {
	if len(changes) == 0 {
		return recent
	}
	joined := make([]resource.Object, 0, len(recent)+len(changes))
	joined = append(append(joined, recent...), changes...)
	return joined[max(0, len(joined)-MaxRecentChanges):]
}
