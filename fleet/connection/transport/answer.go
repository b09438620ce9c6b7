package transport

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrBroken means that an endpoint sent what is no answer although net/http accepts it.
var ErrBroken = errors.New("broken answer")

// brokenAnswers counts broken answers by what was broken.
var brokenAnswers = expvar.NewMap("transport_broken_answers")

const (
	// minStatus is the lowest status code of HTTP.
	minStatus = 100
	// maxQuotedBytes limits what an error quotes of an answer.
	maxQuotedBytes = 64
)

// defect is what makes an answer broken.
type defect struct {
	// kind is a label of brokenAnswers; empty means that the answer is sound.
	kind string
	// quote is the part of the answer that is broken.
	quote string
}

const defectStatus = "status"

// headDefect returns what is broken in the head of a response that net/http accepted.
func headDefect(response *http.Response) defect {
	if response.StatusCode < minStatus {
		return defect{defectStatus, response.Status}
	}
	return defect{}
}

// record counts the defect and returns its error.
func (d defect) record() error {
	brokenAnswers.Add(d.kind, 1)
	return fmt.Errorf("%w: %s %q", ErrBroken, d.kind, d.quote[:min(len(d.quote), maxQuotedBytes)])
}
