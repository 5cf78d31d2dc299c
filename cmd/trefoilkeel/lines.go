package main

import (
	"strings"
	"sync"
)

// lineBuffer keeps the lines that a logger writes.
type lineBuffer struct {
	mu    sync.Mutex
	lines []string
}

// Write takes one line.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, strings.TrimSpace(string(line)))
	return len(line), nil
}

// all returns a copy of the lines.
func (b *lineBuffer) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.lines...)
}
