package serving

// maxLeadingBytes is how many line ends net/http skips before a request.
const maxLeadingBytes = 4

// headScanner finds the size, the fields and the end of a request's head as its bytes arrive.
//
// It may begin within a head, since net/http reads bytes ahead of a request. It counts less then.
type headScanner struct {
	bytes, lines int
	// lineBytes is the length of the current line, without a carriage return.
	lineBytes int
	isEnded   bool
}

// scan records bytes of a head, and ignores those after its end.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		if s.isEnded {
			return
		}
		s.bytes++
		switch {
		case b == '\r':
		case b != '\n':
			s.lineBytes++
		case s.lineBytes > 0:
			s.lines++
			s.lineBytes = 0
		default:
			s.isEnded = s.lines > 0 || s.bytes > maxLeadingBytes
		}
	}
}

// fields returns the number of complete fields: the first line is the request line.
func (s *headScanner) fields() int { return max(0, s.lines-1) }
