package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

func (r *record) addf(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}
