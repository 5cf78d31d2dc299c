package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/retry"
	"github.com/trefoilkeel/trefoilkeel/internal/upstream"
)

// perConnection are the headers that concern one connection only.
var perConnection = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// DropPerConnection removes the headers that must not be passed on.
func DropPerConnection(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range perConnection {
		delete(h, name)
	}
}

// writeHead sends the head of an endpoint's answer to the caller.
func (s *serving) writeHead(response *http.Response, length int) {
	h := s.writer.Header()
	DropPerConnection(response.Header)
	for name, values := range response.Header {
		h[name] = slices.Clone(values)
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if len(h["Content-Type"]) == 0 {
		h["Content-Type"] = nil // the server would guess one
	}
	s.status = response.StatusCode
	s.writer.WriteHeader(response.StatusCode)
}

// whole passes an answer on once it has come whole.
func (s *serving) whole(ctx context.Context, x *upstream.Exchange) (retry.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(x, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = &upstream.ProtocolError{Reason: "the answer is too long"}
	}
	if err != nil {
		s.endedBroken(ctx)
		return retry.Unknown, errors.Wrap(err, "read answer")
	}
	s.began()
	if x.Response.StatusCode >= http.StatusInternalServerError {
		s.ended(balance.Errored)
		s.state.Left = time.Until(s.request.Deadline)
		if s.state.Decide(retry.Errored) == retry.Again && s.budgetTake(time.Now(), s.request.Service) {
			return s.again(ctx, x, body)
		}
	} else {
		s.ended(balance.Succeeded)
	}
	s.pass(x.Response, body)
	return retry.Answered, nil
}

// again makes another attempt after an endpoint's failure, whose answer is
// passed on if that one brings nothing better.
func (s *serving) again(ctx context.Context, x *upstream.Exchange, body []byte) (retry.Outcome, error) {
	failure := x.Response
	s.note("request tried again", retry.Errored, &endpointError{Status: failure.StatusCode})
	if err := s.choose(ctx); err == nil {
		if outcome, _ := s.try(ctx); outcome == retry.Answered || s.status != 0 {
			return outcome, nil
		}
	}
	s.pass(failure, body)
	return retry.Answered, nil
}

// pass sends a whole answer to the caller.
func (s *serving) pass(response *http.Response, body []byte) {
	s.writeHead(response, len(body))
	// A caller that is gone is told by its context; nobody is left to answer.
	_, _ = s.writer.Write(body)
}

// relay passes the events of a stream on as they come.
func (s *serving) relay(ctx context.Context, x *upstream.Exchange, silence *patience) (retry.Outcome, error) {
	flusher := http.NewResponseController(s.writer)
	events := bufio.NewReaderSize(x, eventBytes)
	var event []byte
	midLine := false // the buffer ended within a line
	for {
		line, err := events.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			err = &upstream.ProtocolError{Reason: "an event is too long"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			midLine = true
			continue
		}
		if err != nil {
			return s.streamEnded(ctx, err, len(event) > 0, x)
		}
		blank := !midLine && len(bytes.TrimRight(line, "\r\n")) == 0
		midLine = false
		if !blank {
			continue
		}
		if err := s.event(x, event, flusher); err != nil {
			s.ended(balance.Cancelled)
			return retry.Unknown, err
		}
		silence.Reset(max(gapPatience*s.request.Route.GapTarget, minGapPatience))
		event = event[:0]
	}
}

// eventBytes is the buffer of a stream; a longer event is put together, up to
// maxEventBytes.
const (
	eventBytes    = 2 << 10
	maxEventBytes = 1 << 20
)

// event sends one whole event to the caller, unless the caller has it.
func (s *serving) event(x *upstream.Exchange, event []byte, flusher *http.ResponseController) error {
	s.began()
	s.paused(time.Now())
	if s.status == 0 {
		s.writeHead(x.Response, -1)
	}
	if id, ok := eventID(event); ok {
		if s.resumes > 0 && !follows(s.lastEvent, id) {
			return nil
		}
		s.lastEvent = id
	}
	if _, err := s.writer.Write(event); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(flusher.Flush(), "write to the caller")
}

// paused notes the pause before an event.
func (s *serving) paused(now time.Time) {
	if pause := now.Sub(s.eventAt); !s.eventAt.IsZero() && pause > s.longest {
		s.longest = pause
	}
	s.eventAt = now
}

// follows reports whether an event comes after another one.
func follows(last, id string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	return errA != nil || errB != nil || b > a
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if rest, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// streamEnded tells a whole stream from one that broke off.
func (s *serving) streamEnded(ctx context.Context, err error, partial bool, x *upstream.Exchange) (retry.Outcome, error) {
	if errors.Is(err, io.EOF) && !partial {
		if s.status == 0 {
			s.writeHead(x.Response, 0)
		}
		s.ended(balance.Succeeded)
		return retry.Answered, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	s.endedBroken(ctx)
	if s.status != 0 {
		s.resumes++
	}
	return retry.Unknown, errors.Wrap(err, "read stream")
}
