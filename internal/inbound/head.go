package inbound

import "bytes"

// requestHead counts the bytes and lines of a request head as they arrive.
type requestHead struct {
	bytes, lines int
	lineBytes    int  // of the line that has not ended
	lineIsCR     bool // that line is a carriage return so far
}

// add counts what arrives until the head ends, which is with an empty line, and reports whether it did. What
// follows the end is not counted. As net/http does, it takes a line feed alone for the end of a line.
func (h *requestHead) add(p []byte) (ended bool) {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.lineIsCR = h.lineBytes == 0 && len(p) == 1 && p[0] == '\r'
			h.bytes += len(p)
			h.lineBytes += len(p)
			return false
		}
		line := p[:end]
		blank := h.lineBytes == 0 && (len(line) == 0 || string(line) == "\r") || h.lineIsCR && len(line) == 0
		h.bytes += end + 1
		h.lines++
		h.lineBytes, h.lineIsCR = 0, false
		if blank {
			return true
		}
		p = p[end+1:]
	}
	return false
}
