package outcome

import "time"

// Attempt is the log record of one attempt at an endpoint: the inputs of its
// placement and its result. The relay writes it and package explain reads it.
// Durations are logged in nanoseconds.
type Attempt struct {
	Endpoint string `json:"endpoint"`
	// At is the time since the request's arrival.
	At time.Duration `json:"at"`
	// Running and Prefill are the estimated requests at the endpoint and the prompt
	// tokens that it had yet to prefill.
	Running  int    `json:"running"`
	Prefill  int    `json:"prefill"`
	CopyFrom string `json:"copyFrom,omitempty"`
	// Expected is the expected time to the first event; zero if it was not estimated.
	Expected time.Duration `json:"expected,omitempty"`
	// Took is the duration of the attempt.
	Took time.Duration `json:"took"`
	// Head is the time until the head of the response, and Events the number of stream
	// events that arrived; both are zero if there were none.
	Head   time.Duration `json:"head,omitempty"`
	Events int           `json:"events,omitempty"`
	// Ended is why the attempt failed; empty if its response was relayed. Cause is
	// the underlying error, if any.
	Ended string `json:"ended,omitempty"`
	Cause string `json:"cause,omitempty"`
}

// Shed is the log record of why a request was refused while the capacity of its service was
// short.
type Shed struct {
	// Reason is what put the request behind others, and Fraction the share of such requests
	// that were refused.
	Reason   string  `json:"reason"`
	Fraction float64 `json:"fraction"`
	Rank     int     `json:"rank"`
	// Expected is the expected time to the answer, and Capacity that of the service in
	// requests per second; each is zero if it was not known.
	Expected time.Duration `json:"expected"`
	Capacity float64       `json:"capacity"`
	// Age is how old the reports of other routers were on which both rest.
	Age time.Duration `json:"age"`
}
