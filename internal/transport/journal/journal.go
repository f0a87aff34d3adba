// Package journal writes log lines without blocking the process that logs. Lines
// are buffered and written in the background; while the buffer is full because the
// output is read too slowly, lines are dropped and counted.
//
// # Usage
//
//	wr := journal.New(os.Stdout)
//	klog.SetOutput(wr)
//	defer wr.Close()
package journal

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the buffered bytes that are not yet being written.
	maxBuffered = 256 << 10
	// flushInterval is how long lines are collected before they are written
	// together, which saves system calls.
	flushInterval = 200 * time.Millisecond
	// maxAtomicWrite is PIPE_BUF: the largest write in bytes that a pipe doesn't mix
	// with the writes of other processes.
	maxAtomicWrite = 4096
)

// Writer is an io.Writer for log lines that never blocks. It is safe for concurrent
// use.
type Writer struct {
	out          io.Writer
	mu           sync.Mutex
	buffer       []byte
	droppedLines int
	closed       bool
	wake         chan struct{}
	done         chan struct{}
}

// New returns a Writer that writes to out in the background. Close ends it.
func New(out io.Writer) *Writer {
	wr := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go wr.run()
	return wr
}

// Write buffers one line. It never returns an error: a line for which the buffer
// has no room, or that is written after Close, is dropped and counted.
func (wr *Writer) Write(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if len(wr.buffer)+len(line) > maxBuffered || wr.closed {
		wr.droppedLines++
		return len(line), nil
	}
	first := len(wr.buffer) == 0
	wr.buffer = append(wr.buffer, line...)
	if first {
		wr.signal()
	}
	return len(line), nil
}

// signal wakes run without blocking.
func (wr *Writer) signal() {
	select {
	case wr.wake <- struct{}{}:
	default:
	}
}

// closeTimeout bounds how long Close waits for an output that isn't read.
const closeTimeout = 300 * time.Millisecond

// Close writes the buffered lines, but gives up after closeTimeout if the output
// isn't read.
func (wr *Writer) Close() {
	wr.mu.Lock()
	wr.closed = true
	wr.mu.Unlock()
	wr.signal()
	select {
	case <-wr.done:
	case <-time.After(closeTimeout):
	}
}

// run flushes the buffer a flushInterval after its first line, and at once after
// Close, which ends it.
func (wr *Writer) run() {
	defer close(wr.done)
	for range wr.wake {
		wr.mu.Lock()
		closed := wr.closed
		wr.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		if wr.flush() {
			return
		}
	}
}

// flush writes the buffered lines and reports whether the Writer is closed.
func (wr *Writer) flush() bool {
	wr.mu.Lock()
	data, dropped, closed := wr.buffer, wr.droppedLines, wr.closed
	wr.buffer, wr.droppedLines = nil, 0
	wr.mu.Unlock()
	if dropped > 0 {
		data = append(data, fmt.Sprintf("Log lines left out count=%d\n", dropped)...)
	}
	for len(data) > 0 {
		length := wholeLines(data)
		// An error is ignored: it could only be reported in the log.
		_, _ = wr.out.Write(data[:length])
		data = data[length:]
	}
	return closed
}

// wholeLines returns the length of the longest run of whole lines at the start of
// data that fits into maxAtomicWrite, so that the lines of several processes that
// write to one pipe are not mixed. A line that is longer than that is returned
// alone.
func wholeLines(data []byte) int {
	if len(data) <= maxAtomicWrite {
		return len(data)
	}
	if end := bytes.LastIndexByte(data[:maxAtomicWrite], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1
	}
	return len(data)
}
