package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run. It is safe for concurrent
// use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

// openRecord creates the file.
func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// write adds a line with the time since the start in seconds.
func (re *record) write(format string, values ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.out, "%8.3f %s\n", time.Since(re.began).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the file and to standard output.
func (re *record) say(format string, values ...any) {
	re.write(format, values...)
	fmt.Printf(format+"\n", values...)
}

// close writes the rest and closes the file.
func (re *record) close() error {
	re.mu.Lock()
	defer re.mu.Unlock()
	if err := re.out.Flush(); err != nil {
		return err
	}
	return re.file.Close()
}
