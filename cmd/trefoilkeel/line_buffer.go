package main

import (
	"strings"
	"sync"
)

// lineBuffer is an io.Writer that keeps the lines a logger writes.
type lineBuffer struct {
	mu    sync.Mutex
	lines []string
}

// Write appends one line.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, strings.TrimSpace(string(line)))
	return len(line), nil
}

// copyLines returns a copy of the lines.
func (b *lineBuffer) copyLines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.lines...)
}
