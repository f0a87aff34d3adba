package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// add writes a line with the time since the start. The result is also shown on the
// standard output.
func (re *record) add(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(re.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = re.file.WriteString(line)
}

func (re *record) close() { _ = re.file.Close() }
