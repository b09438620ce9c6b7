// Package explain reconstructs from router logs how a request was handled and why
// it failed.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a line; a longer one is an error.
const maxLineBytes = 1 << 20

// Line is one line of a router's log.
type Line struct {
	// Router is the last word before the line's JSON, such as a name added by a log
	// collector, else the instance of the log's "Started." line or the file name.
	Router  string    `json:"-"`
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	// Request, Endpoint, Instance and Service are empty if the line has no such field.
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// PartID is the prompt part that the line concerns; empty if there is none.
	PartID string `json:"partId"`
	// text is the line's JSON.
	text []byte
}

// Read parses the lines of a log. Lines without JSON are skipped and counted.
func Read(name string, source io.Reader) (lines []Line, skipped int, err error) {
	router := name
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(router, scanner.Text())
		if !ok {
			skipped++
			continue
		}
		if line.Router == router && line.Message == "hosted: Started." && line.Instance != "" {
			router = line.Instance
			line.Router = router
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), name)
}

func parse(router, text string) (Line, bool) {
	prefix, _, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	line := Line{Router: router, text: []byte(text[len(prefix):])}
	if err := json.Unmarshal(line.text, &line); err != nil || line.Message == "" {
		return Line{}, false
	}
	if words := strings.Fields(prefix); len(words) > 0 {
		line.Router = words[len(words)-1]
	}
	return line, true
}
