// Package answer checks what servers answer, before any of it is used: whether the head is one of HTTP, and whether
// the answer has ended where it says. All clients of the system read answers through it.
package answer

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// HeadError reports that the head or the trailer of an answer is none of HTTP.
type HeadError struct {
	Reason string
}

func (e *HeadError) Error() string { return "the head of the answer is malformed: " + e.Reason }

// Statuses that HTTP defines.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead checks the status and the fields of a parsed head. An error is a *HeadError.
func CheckHead(status int, fields http.Header) error {
	if status < minStatus || status > maxStatus {
		return &HeadError{Reason: "status " + strconv.Itoa(status)}
	}
	return CheckFields(fields)
}

// CheckFields checks the names and values of the fields of a head or a trailer. net/http accepts names with blanks.
// An error is a *HeadError.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{Reason: "field name " + strconv.Quote(name)}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &HeadError{Reason: "value of field " + name}
			}
		}
	}
	return nil
}

// statusLineStart is the length of a status line up to its status, such as "HTTP/1.1 200".
const statusLineStart = 12

// HeadScanner checks the bytes of a head as they arrive, which tell more than the parsed head: net/http joins lines that
// begin with a blank to the line before. The zero value is ready for the first byte.
type HeadScanner struct {
	state  scanState
	line   [statusLineStart]byte // the start of the status line
	length int                   // of that start, as far as it has arrived
}

// scanState is the part of a head that is expected next.
type scanState uint8

const (
	scanStatus    scanState = iota // the start of the status line
	scanReason                     // the end of the status, then the rest of the line
	scanLineStart                  // a name, or the end of the head
	scanName
	scanValue
	scanLineFeed    // the line feed after the carriage return of a line
	scanEndLineFeed // the line feed at the end of the head
	scanEnd         // nothing: the body follows
)

// Scan checks the next bytes of a head, or of several ones if the first are interim. It ignores what follows the last. An
// error is a *HeadError.
func (s *HeadScanner) Scan(p []byte) error {
	for _, b := range p {
		if s.state == scanEnd {
			return nil
		}
		if err := s.next(b); err != nil {
			return err
		}
	}
	return nil
}

// next checks the next byte.
func (s *HeadScanner) next(b byte) error {
	switch s.state {
	case scanStatus:
		s.line[s.length] = b
		if s.length++; s.length == statusLineStart {
			s.state = scanReason
			return s.checkStatus()
		}
	case scanReason:
		return s.nextOfReason(b)
	case scanLineStart:
		return s.nextOfLineStart(b)
	case scanName:
		if b == ':' {
			s.state = scanValue
		} else if !isTokenByte(b) {
			return &HeadError{Reason: "byte " + strconv.QuoteRune(rune(b)) + " in the name of a field"}
		}
	case scanValue:
		return s.nextOfValue(b)
	case scanLineFeed, scanEndLineFeed:
		if b != '\n' {
			return &HeadError{Reason: "carriage return within a line"}
		}
		if s.state == scanLineFeed {
			s.state = scanLineStart
		} else {
			s.endHead()
		}
	}
	return nil
}

// checkStatus checks the start of the status line.
func (s *HeadScanner) checkStatus() error {
	start := string(s.line[:])
	status, err := strconv.ParseUint(start[len("HTTP/1.1 "):], 10, 16)
	if start[:len("HTTP/1.")] != "HTTP/1." || start[len("HTTP/1.1")] != ' ' || err != nil || status < minStatus || status > maxStatus {
		return &HeadError{Reason: "status line " + strconv.Quote(start)}
	}
	return nil
}

// nextOfReason checks a byte after the start of the status line; the first one ends the status.
func (s *HeadScanner) nextOfReason(b byte) error {
	first := s.length == statusLineStart
	s.length++
	switch {
	case b == '\n':
		s.state = scanLineStart
	case b == '\r':
		s.state = scanLineFeed
	case first && b != ' ':
		return &HeadError{Reason: "status line " + strconv.Quote(string(s.line[:])+string(rune(b)))}
	}
	return nil
}

func (s *HeadScanner) nextOfLineStart(b byte) error {
	switch {
	case b == '\n':
		s.endHead()
	case b == '\r':
		s.state = scanEndLineFeed
	case isTokenByte(b):
		s.state = scanName
	default:
		return &HeadError{Reason: "a line begins with " + strconv.QuoteRune(rune(b))}
	}
	return nil
}

func (s *HeadScanner) nextOfValue(b byte) error {
	const deleteByte = 0x7f
	switch {
	case b == '\n':
		s.state = scanLineStart
	case b == '\r':
		s.state = scanLineFeed
	case b < ' ' && b != '\t' || b == deleteByte:
		return &HeadError{Reason: "byte " + strconv.QuoteRune(rune(b)) + " in the value of a field"}
	}
	return nil
}

// endHead continues with the next head after an interim one.
func (s *HeadScanner) endHead() {
	s.state, s.length = scanEnd, 0
	if s.line[len("HTTP/1.1 ")] == '1' {
		s.state = scanStatus
	}
}

func isTokenByte(b byte) bool { return httpguts.IsTokenRune(rune(b)) }

// HeadReader reads answers from a connection that is used once, and checks their heads.
type HeadReader struct {
	io.Reader
	scanner HeadScanner
}

// Read fails with a *HeadError if the head is malformed.
func (r *HeadReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if malformed := r.scanner.Scan(p[:n]); malformed != nil {
		return 0, errors.WithStack(malformed)
	}
	return n, err
}
