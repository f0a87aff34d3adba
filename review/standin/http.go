package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// message is an HTTP/1.1 request or response on a flow.
type message struct {
	start  string
	header map[string]string
	body   []byte
}

func encodeMessage(start string, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s\r\n", start)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// cutMessage returns the first message in data and the rest, or false if it isn't whole.
func cutMessage(data []byte) (message, []byte, bool) {
	head, rest, ok := bytes.Cut(data, []byte("\r\n\r\n"))
	if !ok {
		return message{}, data, false
	}
	lines := strings.Split(string(head), "\r\n")
	m := message{start: lines[0], header: make(map[string]string)}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		m.header[name] = value
	}
	length, _ := strconv.Atoi(m.header["Content-Length"])
	if len(rest) < length {
		return message{}, data, false
	}
	m.body = rest[:length]
	return m, rest[length:], true
}
