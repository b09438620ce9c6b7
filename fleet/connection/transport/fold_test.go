package transport

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against folded lines that are missed, or seen where there are none, wherever the bytes of
// a response are divided.
func TestFoldScanner(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for text, want := range map[string]string{
		"":                                                                      "",
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                                       "",
		"HTTP/1.1 200 OK\r\n\r\n body":                                          "",
		"HTTP/1.1 200 OK\nA: b\n\n body":                                        "",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":                                 " c\r",
		"HTTP/1.1 200 OK\nA: b\n\tc: d\nE: f\n g\n\n":                           "\tc: d",
		"HTTP/1.1 200 OK\r\n c: d\r\n\r\n":                                      " c: d\r",
		"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n":                                  " \r",
		"HTTP/1.1 200 OK\r\nA: b\r\n \r\nC: d\r\n\r\n body":                     " \r",
		interim + "HTTP/1.1 200 OK\r\nA: b\r\n\r\n c":                           "",
		interim + interim + "HTTP/1.1 200 OK\r\nA: b\r\n c":                     " c",
		"HTTP/1.1 103 x\r\nA: b\r\n c\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n d": "",
		"HTTP/1.1 200 OK\r\nA: b\r\n" + strings.Repeat(" ", 100):                strings.Repeat(" ", maxQuotedBytes),
	} {
		for size := 1; size <= len(text)+1; size++ {
			var s foldScanner
			// A response to an earlier request with a folded line.
			s.start()
			s.scan([]byte("HTTP/1.1 200 OK\r\nA: b\r\n old\r\n"))
			s.start()
			for rest := text; rest != ""; {
				part := rest[:min(size, len(rest))]
				rest = rest[len(part):]
				s.scan([]byte(part))
			}
			assert.Equal(t, string(s.folded), want, "%q in parts of %d bytes", text, size)
			assert.Equal(t, s.folded == nil, want == "", "%q in parts of %d bytes", text, size)
		}
	}
}
