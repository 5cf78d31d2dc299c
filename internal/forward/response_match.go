package forward

import (
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/retry"
	"github.com/trefoilkeel/trefoilkeel/internal/upstream"
)

// maxLoggedIDBytes limits the ID of a response in the log. The ID comes from the endpoint.
const maxLoggedIDBytes = 64

// unmatchedResponseError reports a response that doesn't carry the ID of the request that was sent.
// The request may have run.
type unmatchedResponseError struct {
	RequestID string // of the response, "" if it has none
	Status    int
}

func (e *unmatchedResponseError) Error() string { return "the answer is not to this request" }

// matchResponse returns what the endpoint's response says if it is the response to the request of
// the attempt. Otherwise it returns an *unmatchedResponseError and the response must not be used: an
// endpoint can send an earlier response once more, or one before it has read the request, and a
// response without an ID can be such a one, on a new connection too.
func (a *activeRequest) matchResponse(x *upstream.Exchange) (ResponseMetadata, error) {
	metadata := a.options.Dialect.DecodeResponse(x.Response)
	if metadata.RequestID == a.request.ID {
		return metadata, nil
	}
	err := &unmatchedResponseError{RequestID: metadata.RequestID, Status: x.Response.StatusCode}
	a.options.Logger.Warn("response not to this request", "request", a.request.ID, "endpoint", a.choice.ID,
		"answered", err.RequestID[:min(len(err.RequestID), maxLoggedIDBytes)], "status", err.Status, "reused", x.Reused())
	return ResponseMetadata{}, err
}

// handleUnmatchedResponse returns the outcome of an attempt that got a response to another request.
// The endpoint may be running the request. Nothing is known of it but that it failed to answer.
func (a *activeRequest) handleUnmatchedResponse(err error) (retry.Outcome, error) {
	a.countRun()
	a.recordBegan()
	a.recordEnd(balance.Failed)
	return retry.Unknown, err
}
