package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
)

// neverConfirmed is the age of a configuration that no control host has confirmed.
const neverConfirmed = -time.Millisecond

// IndexStatus describes the configuration in force.
type IndexStatus struct {
	AnnouncedVersion uint64        // the highest version that any control host has announced
	Age              time.Duration // since a control host confirmed that the version in force is its newest, or neverConfirmed
}

// IndexStatus returns how current the configuration in force is.
func (e *Entry) IndexStatus() IndexStatus {
	status := e.follower.Status()
	age := neverConfirmed
	if !status.ConfirmedAt.IsZero() {
		age = time.Since(status.ConfirmedAt)
	}
	return IndexStatus{AnnouncedVersion: status.AnnouncedVersion, Age: age}
}

// UnconfirmedIndexError reports that the configuration in force may not be the newest.
type UnconfirmedIndexError struct {
	Version, AnnouncedVersion uint64
}

func (e *UnconfirmedIndexError) Error() string {
	return fmt.Sprintf("configuration %d is not confirmed as the newest", e.Version)
}

// ConfirmIndex returns the configuration in force once a control host has lately confirmed that it is the newest. It waits
// for that, or for a newer one that was announced, for maxWait and maxRefusalWait at most, and not while no control host
// is live. It causes no calls. The error is an *UnconfirmedIndexError.
func (e *Entry) ConfirmIndex(ctx context.Context, maxWait time.Duration) (*catalog.Index, error) {
	waits := false
	var timeout <-chan time.Time
	for {
		checked := e.follower.DocumentChecked()
		status := e.follower.Status()
		index := e.index.Load() // not older than the version of the status
		if index != nil && status.DocumentIsCurrent(time.Now()) {
			return index, nil
		}
		unconfirmed := &UnconfirmedIndexError{Version: status.DocumentVersion, AnnouncedVersion: status.AnnouncedVersion}
		if status.LiveHostCount == 0 {
			return nil, errors.WithStack(unconfirmed)
		}
		if !waits {
			select {
			case e.refusals <- struct{}{}:
			default:
				return nil, errors.WithStack(unconfirmed)
			}
			defer func() { <-e.refusals }()
			timer := time.NewTimer(min(maxWait, maxRefusalWait))
			defer timer.Stop()
			waits, timeout = true, timer.C
		}
		select {
		case <-checked:
		case <-timeout:
			return nil, errors.WithStack(unconfirmed)
		case <-ctx.Done():
			return nil, errors.WithStack(unconfirmed)
		}
	}
}
