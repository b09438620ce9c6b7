package serving

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzHead guards against heads that pass the limits because the scanner sees their end, or
// fewer fields, before net/http does.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		testRequest + "body\n\n", "GET / HTTP/1.0\n\n", "GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\td\r\n\r\n", "\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n\n\n", "GET / HTTP/1.1\r\n\r\r\n\r\n", "GET / HTTP/1.1\nA:\nA:\nB:\n\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		var whole, pieces headScanner
		whole.scan(data)
		piece = max(1, min(piece, 1<<10))
		for rest := data; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			pieces.scan(rest[:min(piece, len(rest))])
		}
		assert.Equal(t, whole, pieces)
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		read := len(data) - source.Len() - reader.Buffered()
		assert.Assert(t, whole.isEnded && whole.bytes == read, "%d bytes scanned, %d read", whole.bytes, read)
		fields := 0
		for _, values := range request.Header {
			fields += len(values)
		}
		assert.Assert(t, whole.fields() >= fields)
	})
}

// Guards against line ends before a request, which net/http skips, that hide its head.
func TestHeadScannerLeadingLineEnds(t *testing.T) {
	for _, leading := range []string{"", "\n", "\r\n", "\r\n\r\n"} {
		var s headScanner
		s.scan([]byte(leading + "GET / HTTP/1.1\r\n" + strings.Repeat("A:\r\n", 50)))
		assert.Equal(t, s.fields(), 50)
		assert.Assert(t, !s.isEnded)
	}
}
