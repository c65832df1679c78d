package httpguard

import (
	"bytes"
	"io"
	"time"
)

// received notes bytes that were read, and returns why they are refused, "" if they are not.
func (c *conn) received(p []byte) Cause {
	c.mu.Lock()
	if c.phase == phaseIdle {
		c.enter(phaseHead)
		c.headBytes, c.headLines = 0, 0
	}
	if c.phase != phaseHead {
		c.mu.Unlock()
		return ""
	}
	c.headBytes += len(p)
	c.headLines += bytes.Count(p, lineEnd)
	size, lines := c.headBytes, c.headLines
	c.mu.Unlock()
	// The last bytes may be those of a body.
	if size-len(p) >= c.server.guard.currentLimits().HeadBytes {
		return CauseHeadSize
	}
	if !c.server.guard.take(c, headCost(size, lines)) {
		return CauseMemory
	}
	return ""
}

var lineEnd = []byte{'\n'}

const (
	// headByteCost and headLineCost are what a byte and a field of a head take in memory:
	// the text, and an entry of a map with a slice.
	headByteCost = 2
	headLineCost = 256
)

// headCost returns the memory, in bytes, that a head takes.
func headCost(size, lines int) int64 { return int64(size)*headByteCost + int64(lines)*headLineCost }

// refuseHead ends a connection whose head is refused. A client whose head is too large is
// told so; buffer is for what it is still sending.
func (c *conn) refuseHead(cause Cause, buffer []byte) {
	if cause == CauseHeadSize {
		c.answerHeadTooLarge(buffer)
	}
	c.giveUp(cause)
}

// headTooLarge is the response to a head that exceeds the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// answerHeadTooLarge sends the response, and reads on for a moment: a connection that is
// closed with bytes unread is reset, and its client may lose the response.
func (c *conn) answerHeadTooLarge(buffer []byte) {
	deadline := time.Now().Add(endingTime)
	// An error ends the connection, as its caller does next.
	if c.Conn.SetDeadline(deadline) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headTooLarge); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	limit := c.server.guard.currentLimits().HeadBytes
	for read := 0; read < limit; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}
