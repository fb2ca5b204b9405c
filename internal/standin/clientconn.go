package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// This file implements a client connection on which a test decides every byte and how it ends. Nothing here may sleep in
// the hope that something happens meanwhile.

// ClientConn is a client's connection, controlled by a test.
type ClientConn struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

// Dial opens a connection to a scheduler.
func Dial(addr string) (*ClientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		return nil, err
	}
	return &ClientConn{conn.(*net.TCPConn), bufio.NewReader(conn)}, nil
}

// RequestText returns the text of an HTTP request for a job.
func RequestText(id, class string, budget time.Duration, body string, headerFields ...string) string {
	header := strings.Join(headerFields, "\r\n")
	if header != "" {
		header += "\r\n"
	}
	return fmt.Sprintf("POST /api/1 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n%sContent-Length: %d\r\n\r\n%s",
		id, class, budget.Milliseconds(), header, len(body), body)
}

// Send writes text.
func (c *ClientConn) Send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// HalfClose closes the sending side; reading goes on.
func (c *ClientConn) HalfClose() { _ = c.conn.CloseWrite() }

// Close closes the connection.
func (c *ClientConn) Close() { _ = c.conn.Close() }

// Reset closes the connection with a TCP reset.
func (c *ClientConn) Reset() {
	_ = c.conn.SetLinger(0)
	_ = c.conn.Close()
}

// ReadAnswer reads one answer, within the timeout.
func (c *ClientConn) ReadAnswer(timeout time.Duration) (status int, body string, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, string(b), err
}

// ReadN reads n bytes and leaves the rest in a small receive buffer.
func (c *ClientConn) ReadN(n int) error {
	_ = c.conn.SetReadBuffer(4 << 10)
	_, err := io.ReadFull(c.conn, make([]byte, n))
	return err
}
