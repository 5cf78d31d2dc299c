package forward

import (
	"bytes"
	"mime"
	"net/http"
	"regexp"
	"strconv"

	"github.com/trefoilkeel/trefoilkeel/internal/upstream"
)

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// checkContinuation returns a *upstream.ProtocolError if a response with a success status can't go on with
// the stream of which the caller has received a part.
func (a *activeRequest) checkContinuation(response *http.Response) error {
	written := a.writer.Header()
	mediaType, writtenType := mediaTypeOf(response.Header), mediaTypeOf(written)
	switch {
	case response.StatusCode != a.writtenStatus:
		return &upstream.ProtocolError{Reason: "a resumed stream has the status " + strconv.Itoa(response.StatusCode)}
	case mediaType != eventStreamType && mediaType != writtenType:
		return &upstream.ProtocolError{Reason: "a resumed stream has another content type"}
	case response.Header.Get("Content-Encoding") != written.Get("Content-Encoding"):
		return &upstream.ProtocolError{Reason: "a resumed stream has another encoding"}
	}
	return nil
}

// mediaTypeOf returns the media type of a header without parameters, or the header's value if it can't be parsed.
func mediaTypeOf(h http.Header) string {
	value := h.Get("Content-Type")
	if mediaType, _, err := mime.ParseMediaType(value); err == nil {
		return mediaType
	}
	return value
}

// checkEvent returns a *upstream.ProtocolError if an event can't belong to the stream.
func (a *activeRequest) checkEvent(event []byte) error {
	if containsResponseHead(event) {
		return &upstream.ProtocolError{Reason: "an answer begins in the body of another"}
	}
	if a.writtenStatus == 0 || a.attemptEvents > 0 || a.lastEventID == "" {
		return nil
	}
	// The first event after a resumption shows by its ID that the endpoint goes on with the stream.
	id, ok := eventID(event)
	if !ok || isNumber(a.lastEventID) && !isNumber(id) {
		return &upstream.ProtocolError{Reason: "a resumed stream begins with an event that has no id"}
	}
	return nil
}

func isNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

var (
	statusLineStart = []byte("HTTP/1.")
	leadingStatus   = regexp.MustCompile(`(?m)^HTTP/1\.[0-9] [0-9]{3}`)
	trailingStatus  = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}[^\n]*\r\n`)
)

// containsResponseHead reports whether the head of a response begins in an event. Within a line it is
// distinguished from text by its line end, if the lines of the event itself end without a carriage return.
func containsResponseHead(event []byte) bool {
	if !bytes.Contains(event, statusLineStart) {
		return false
	}
	firstLine, _, _ := bytes.Cut(event, []byte("\n"))
	return leadingStatus.Match(event) || !bytes.HasSuffix(firstLine, []byte("\r")) && trailingStatus.Match(event)
}
