package transport

// foldScanner finds a folded line, one that begins with a blank, in the head of a response. net/http
// joins it to the field before, so what it says can't be checked afterwards. The scanner sees the
// bytes before net/http and skips the heads of interim responses.
type foldScanner struct {
	// isActive is set from the start of a head to its end.
	isActive bool
	// folded is the beginning of the first folded line of the response's head; nil if it has none.
	folded []byte

	// line and column count the lines before this byte, and the bytes before it in its line.
	line, column int
	// isBlank is set while the line holds nothing but its end.
	isBlank bool
	// isInterim is set if the head is that of an interim response.
	isInterim bool
	isQuoting bool
}

// statusColumn is the column of the status code in a status line such as "HTTP/1.1 200 OK".
const statusColumn = len("HTTP/1.1 ")

// start prepares for the response to the next request.
func (s *foldScanner) start() { *s = foldScanner{isActive: true, isBlank: true} }

// scan passes the next bytes of the connection.
func (s *foldScanner) scan(p []byte) {
	for i := 0; i < len(p) && s.isActive; i++ {
		s.scanByte(p[i])
	}
}

func (s *foldScanner) scanByte(b byte) {
	switch {
	case b == '\n':
		s.endLine()
		return
	case s.line > 0 && s.column == 0 && (b == ' ' || b == '\t'):
		s.isQuoting = s.folded == nil
	case s.line == 0 && s.column == statusColumn:
		s.isInterim = b == '1'
	}
	if s.isQuoting && len(s.folded) < maxQuotedBytes {
		s.folded = append(s.folded, b)
	}
	s.isBlank = s.isBlank && b == '\r'
	s.column++
}

func (s *foldScanner) endLine() {
	switch {
	case !s.isBlank || s.line == 0:
		s.line, s.column, s.isBlank, s.isQuoting = s.line+1, 0, true, false
	case s.isInterim:
		s.start()
	default:
		s.isActive = false
	}
}
