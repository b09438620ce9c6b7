// Package explain tells the story of a request from the log lines of routers.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the longest line that is read; a longer one is an error.
const maxLineBytes = 1 << 20

// Line is one line of a router's log.
type Line struct {
	// Router is what stood before the line's JSON, such as a name that a log
	// collector put there, or else the name of the file.
	Router  string    `json:"-"`
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	// Request, Endpoint and Instance are empty in lines that name none.
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Instance string `json:"instance"`
	// text is the line's JSON.
	text []byte
}

// Read reads the lines of a log. Lines without JSON are passed over and counted.
func Read(name string, from io.Reader) (lines []Line, passedOver int, err error) {
	router := name
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(router, scanner.Text())
		if !ok {
			passedOver++
			continue
		}
		if line.Router == router && line.Message == "hosted: Started." && line.Instance != "" {
			router = line.Instance
			line.Router = router
		}
		lines = append(lines, line)
	}
	return lines, passedOver, errors.Wrap(scanner.Err(), name)
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
