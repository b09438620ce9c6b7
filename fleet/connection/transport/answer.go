package transport

import (
	"expvar"
	"fmt"
	"net/http"
	"strings"

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

// Kinds of defects.
const (
	defectStatus = "status"
	defectField  = "field name"
	defectFold   = "folded line"
	// defectEnd is an end without a length that a reset brought about.
	defectEnd = "end"
)

// responseHead is a head that net/http accepted.
type responseHead struct {
	code   int
	status string
	header http.Header
	// folded is the beginning of its first folded line; nil if it has none.
	folded []byte
}

// defect returns what is broken in the head. It answers endpoints in trouble that send heads which
// net/http reads, but not as they were meant.
func (h responseHead) defect() defect {
	if h.code < minStatus {
		return defect{defectStatus, h.status}
	}
	// net/http accepts a blank in a name and then takes the field for another one, even if it
	// states the length of the body.
	for name := range h.header {
		if !isFieldName(name) {
			return defect{defectField, name}
		}
	}
	if h.folded != nil {
		return defect{defectFold, string(h.folded)}
	}
	return defect{}
}

// isFieldName reports whether a name is a token of HTTP.
func isFieldName(name string) bool {
	for _, b := range []byte(name) {
		isAlphanumeric := b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return name != ""
}

// record counts the defect and returns its error.
func (d defect) record() error {
	brokenAnswers.Add(d.kind, 1)
	return fmt.Errorf("%w: %s %q", ErrBroken, d.kind, d.quote[:min(len(d.quote), maxQuotedBytes)])
}
