package upstream

import (
	"strconv"
	"strings"
	"time"
)

// maxKeepAliveSeconds bounds the timeout parameter, which must fit a duration.
const maxKeepAliveSeconds = 24 * 60 * 60

// parseKeepAlive returns the timeout parameter of a Keep-Alive header.
func parseKeepAlive(value string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(value, ",") {
		name, secondsText, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(secondsText)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second, true
	}
	return 0, false
}
