// Package journal writes the log without ever making the process wait: lines
// wait in a buffer of bounded size and are left out, and counted, when the
// reader of the output is slower than the process.
//
// # Usage
//
//	jo := journal.New(os.Stdout)
//	klog.SetOutput(jo)
//	defer jo.Close()
package journal

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the bytes that wait to be written.
	maxBuffered = 256 << 10
	// flushInterval is how long a line may wait; it saves system calls.
	flushInterval = 200 * time.Millisecond
	// atomicWrite is the number of bytes that a pipe takes in one piece.
	atomicWrite = 4096
)

// Journal is an io.Writer that never blocks. It is safe for concurrent use.
type Journal struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a journal that writes to out in the background.
func New(out io.Writer) *Journal {
	jo := &Journal{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go jo.run()
	return jo
}

// Write takes one line. It always reports success: a line that finds no room is
// counted and left out.
func (jo *Journal) Write(line []byte) (int, error) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if len(jo.buffer)+len(line) > maxBuffered || jo.closed {
		jo.dropped++
		return len(line), nil
	}
	first := len(jo.buffer) == 0
	jo.buffer = append(jo.buffer, line...)
	if first {
		jo.signal()
	}
	return len(line), nil
}

func (jo *Journal) signal() {
	select {
	case jo.wake <- struct{}{}:
	default:
	}
}

// closeTimeout bounds how long Close waits for a reader that doesn't read.
const closeTimeout = 300 * time.Millisecond

// Close writes what is left, unless the reader doesn't read.
func (jo *Journal) Close() {
	jo.mu.Lock()
	jo.closed = true
	jo.mu.Unlock()
	jo.signal()
	select {
	case <-jo.done:
	case <-time.After(closeTimeout):
	}
}

func (jo *Journal) run() {
	defer close(jo.done)
	for range jo.wake {
		jo.mu.Lock()
		closed := jo.closed
		jo.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		if jo.flush() {
			return
		}
	}
}

// flush writes the buffer and reports whether the journal was closed.
func (jo *Journal) flush() bool {
	jo.mu.Lock()
	data, dropped, closed := jo.buffer, jo.dropped, jo.closed
	jo.buffer, jo.dropped = nil, 0
	jo.mu.Unlock()
	if dropped > 0 {
		data = append(data, fmt.Sprintf("Log lines left out count=%d\n", dropped)...)
	}
	for len(data) > 0 {
		length := wholeLines(data)
		// A failed write has nowhere to be reported: the log itself is broken.
		_, _ = jo.out.Write(data[:length])
		data = data[length:]
	}
	return closed
}

// wholeLines returns the length of as many whole lines as one write to a pipe
// takes at once, so that lines of several processes are not mixed.
func wholeLines(data []byte) int {
	if len(data) <= atomicWrite {
		return len(data)
	}
	if end := bytes.LastIndexByte(data[:atomicWrite], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1
	}
	return len(data)
}
