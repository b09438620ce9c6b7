package outcome

import "time"

// Attempt is one send to an endpoint with what decided it and what became of it, as
// logs have it: the relay writes it and package explain reads it. Times are in
// nanoseconds there.
type Attempt struct {
	Endpoint string `json:"endpoint"`
	// At is the time since the request's arrival.
	At time.Duration `json:"at"`
	// Running and Prefill are what the endpoint was taken to have under way.
	Running  int           `json:"running"`
	Prefill  int           `json:"prefill"`
	CopyFrom string        `json:"copyFrom,omitempty"`
	Took     time.Duration `json:"took"`
	// Ended is why it was no answer; empty for an answer that was handed on.
	Ended string `json:"ended,omitempty"`
	Cause string `json:"cause,omitempty"`
}
