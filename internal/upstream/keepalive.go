package upstream

import (
	"strconv"
	"strings"
	"time"
)

// parseKeepAlive returns the idle time of a Keep-Alive header.
func parseKeepAlive(value string) (time.Duration, bool) {
	for field := range strings.SplitSeq(value, ",") {
		name, text, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
