// Package http1 parses and writes HTTP/1.1 messages: start lines, header fields, bodies delimited by
// length, chunks or the end of the connection, keep-alive, and the limits on all of these. A Parser is a
// state machine that takes input in pieces of any size. The package uses no sockets or clocks and does
// not interpret messages. Ambiguous framing is an error.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits of a message, in bytes except MaxFields.
const (
	MaxHead      = 16 << 10 // start line and all header fields
	MaxFields    = 100
	MaxBody      = 64 << 10 // body collected in Message.Body
	maxChunkLine = 1 << 10  // chunk size line or trailer field
)

// Error describes a message that can't be parsed. Status is the status code of the server's response.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

func newError(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Field is one header field. Parsers convert its name to lower case.
type Field struct{ Name, Value string }

// Message is a parsed request or response.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         []Field
	Body           []byte // empty if the parser has an OnBody function
	KeepAlive      bool   // the connection may be used for another message
}

// Get returns the value of the first field with that name, or "". The name must be in lower case.
func (m *Message) Get(name string) string {
	for _, f := range m.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

type parserState uint8

const (
	inHead           parserState = iota
	inFixedBody                  // delimited by length
	inBodyUntilClose             // delimited by the end of the connection
	inChunkSize                  // size line of a chunk
	inChunk
	inChunkEnd // line end after a chunk
	inTrailer
	messageComplete
	messageFailed
)

// Parser parses one message at a time. Create it with NewRequestParser or NewResponseParser.
type Parser struct {
	// OnBody, if set, receives the pieces of a body as they arrive, and Message.Body stays empty. It must
	// not retain them.
	OnBody func([]byte)

	Msg       Message
	response  bool
	state     parserState
	buf       []byte // incomplete head or line
	remaining int64  // bytes left of the body or chunk
	trailers  int
	err       error
}

// NewRequestParser returns a parser of requests.
func NewRequestParser() *Parser { return &Parser{} }

// NewResponseParser returns a parser of responses to requests other than HEAD and CONNECT.
func NewResponseParser() *Parser { return &Parser{response: true} }

// Feed parses b up to the end of the message. It returns the number of bytes consumed and whether the
// message is complete. After a complete message or an error, Reset must be called before the next Feed.
func (p *Parser) Feed(b []byte) (n int, complete bool, err error) {
	for n < len(b) && p.state != messageComplete && p.state != messageFailed {
		m, err := p.step(b[n:])
		n += m
		if err != nil {
			p.state, p.err = messageFailed, err
		}
	}
	return n, p.state == messageComplete, p.err
}

// Reset prepares the parser for the next message.
func (p *Parser) Reset() {
	*p = Parser{OnBody: p.OnBody, response: p.response, buf: p.buf[:0]}
}

// Idle reports whether no byte of a message has been received yet.
func (p *Parser) Idle() bool { return p.state == inHead && len(p.buf) == 0 }

// HeadDone reports whether the head is parsed and the fields of Msg are set.
func (p *Parser) HeadDone() bool { return p.state != inHead && p.state != messageFailed }

// End processes the end of the connection and reports whether the message is complete.
func (p *Parser) End() bool {
	if p.state == inBodyUntilClose {
		p.state = messageComplete
	}
	return p.state == messageComplete
}

func (p *Parser) step(b []byte) (int, error) {
	switch p.state {
	case inHead:
		return p.readHeadBytes(b)
	case inFixedBody, inBodyUntilClose, inChunk:
		return p.readBody(b)
	default:
		line, n, err := p.readLine(b)
		if err != nil || line == nil {
			return n, err
		}
		return n, p.parseChunkLine(string(line[:len(line)-2]))
	}
}

var headTerminator = []byte("\r\n\r\n")

// readHeadBytes collects bytes up to the empty line that ends the head, and parses the head.
func (p *Parser) readHeadBytes(b []byte) (int, error) {
	consumed := 0
	if len(p.buf) == 0 { // skips empty lines before a message
		for consumed < len(b) && (b[consumed] == '\r' || b[consumed] == '\n') {
			consumed++
		}
		if consumed > 0 {
			return consumed, nil
		}
	}
	buffered := len(p.buf)
	searchFrom := max(0, buffered-3)
	p.buf = append(p.buf, b[:min(len(b), MaxHead+4-buffered)]...)
	i := bytes.Index(p.buf[searchFrom:], headTerminator)
	if i < 0 {
		if bareLineFeed(p.buf[searchFrom:]) { // the terminator might never arrive
			return 0, newError(400, "bare line feed in a head")
		}
		if len(p.buf) > MaxHead {
			return 0, newError(431, "head is longer than %d bytes", MaxHead)
		}
		return len(p.buf) - buffered, nil
	}
	end := searchFrom + i + 4
	consumed = end - buffered
	text := string(p.buf[:end-4])
	p.buf = p.buf[:0]
	return consumed, p.parseHead(text)
}

// bareLineFeed reports whether b contains a line feed without a carriage return before it. It ignores
// the first byte.
func bareLineFeed(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if b[i] == '\n' && b[i-1] != '\r' {
			return true
		}
	}
	return false
}

func (p *Parser) parseHead(text string) error {
	start, rest, _ := strings.Cut(text, "\r\n")
	minor, err := p.parseStartLine(start)
	if err != nil {
		return err
	}
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return newError(400, "malformed header field")
		}
		value = strings.Trim(value, " \t")
		for i := 0; i < len(value); i++ {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return newError(400, "control character in a header field")
			}
		}
		if len(p.Msg.Fields) == MaxFields {
			return newError(431, "more than %d header fields", MaxFields)
		}
		p.Msg.Fields = append(p.Msg.Fields, Field{strings.ToLower(name), value})
	}
	return p.decideFraming(minor)
}

// parseStartLine parses a request line or a status line and returns the minor version.
func (p *Parser) parseStartLine(line string) (minor byte, err error) {
	version := line
	if p.response {
		var rest string
		version, rest, _ = strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		p.Msg.Status, err = strconv.Atoi(code)
		if err != nil || len(code) != 3 || p.Msg.Status < 100 {
			return 0, newError(502, "malformed status line")
		}
	} else {
		parts := strings.Split(line, " ")
		if len(parts) != 3 || !isToken(parts[0]) || !isTarget(parts[1]) {
			return 0, newError(400, "malformed request line")
		}
		p.Msg.Method, p.Msg.Target, version = parts[0], parts[1], parts[2]
	}
	if len(version) != 8 || version[:5] != "HTTP/" || version[6] != '.' || version[7] < '0' || version[7] > '9' {
		return 0, newError(400, "malformed version")
	}
	if version[5] != '1' {
		return 0, newError(505, "version is not HTTP/1")
	}
	return version[7], nil
}

// decideFraming determines from the fields how the body is delimited and whether the connection can be
// reused.
func (p *Parser) decideFraming(minor byte) error {
	message := &p.Msg
	message.KeepAlive = minor >= '1'
	length, coding, host := int64(-1), "", false
	for _, f := range message.Fields {
		switch f.Name {
		case "content-length":
			n, err := strconv.ParseUint(f.Value, 10, 62)
			if err != nil {
				return newError(400, "malformed Content-Length")
			}
			if length >= 0 {
				return newError(400, "more than one Content-Length")
			}
			length = int64(n)
		case "transfer-encoding":
			if coding != "" {
				return newError(400, "more than one Transfer-Encoding")
			}
			coding = strings.ToLower(f.Value)
			if coding == "" {
				return newError(400, "empty Transfer-Encoding")
			}
		case "host":
			if host {
				return newError(400, "more than one Host")
			}
			host = true
		case "connection":
			for word := range strings.SplitSeq(f.Value, ",") {
				switch strings.ToLower(strings.Trim(word, " \t")) {
				case "close":
					message.KeepAlive = false
				case "keep-alive":
					message.KeepAlive = message.KeepAlive || minor == '0'
				}
			}
		}
	}
	chunked := coding == "chunked"
	switch {
	case !p.response && !host && minor >= '1': // RFC 9112, section 3.2
		return newError(400, "no Host")
	case coding != "" && (length >= 0 || minor == '0'): // prevents request smuggling past a proxy in front
		return newError(400, "both a length and a transfer coding")
	case coding != "" && !chunked:
		return newError(501, "transfer coding is not chunked")
	case p.response && message.Status < 200 && message.Status != 101:
		p.Msg, p.state = Message{}, inHead // interim response: the final one follows
	case p.response && (message.Status == 204 || message.Status == 304):
		p.state = messageComplete
	case chunked:
		p.state = inChunkSize
	case length > 0:
		if p.OnBody == nil && length > MaxBody {
			return newError(413, "body is longer than %d bytes", MaxBody)
		}
		p.state, p.remaining = inFixedBody, length
	case length < 0 && p.response:
		p.state, message.KeepAlive = inBodyUntilClose, false
	default:
		p.state = messageComplete
	}
	return nil
}

func (p *Parser) readBody(b []byte) (int, error) {
	if p.state != inBodyUntilClose {
		b = b[:min(int64(len(b)), p.remaining)]
	}
	if p.OnBody != nil {
		p.OnBody(b)
	} else {
		if len(p.Msg.Body)+len(b) > MaxBody {
			return 0, newError(413, "body is longer than %d bytes", MaxBody)
		}
		p.Msg.Body = append(p.Msg.Body, b...)
	}
	if p.state == inBodyUntilClose {
		return len(b), nil
	}
	if p.remaining -= int64(len(b)); p.remaining == 0 {
		if p.state == inChunk {
			p.state = inChunkEnd
		} else {
			p.state = messageComplete
		}
	}
	return len(b), nil
}

// readLine collects bytes up to a line end. The line is nil while it is incomplete.
func (p *Parser) readLine(b []byte) (line []byte, consumed int, err error) {
	consumed = len(b)
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		consumed = i + 1
	}
	if len(p.buf)+consumed > maxChunkLine {
		return nil, consumed, newError(400, "line among chunks is too long")
	}
	p.buf = append(p.buf, b[:consumed]...)
	if p.buf[len(p.buf)-1] != '\n' {
		return nil, consumed, nil
	}
	line, p.buf = p.buf, p.buf[:0]
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, consumed, newError(400, "bare line feed among chunks")
	}
	return line, consumed, nil
}

func (p *Parser) parseChunkLine(line string) error {
	switch p.state {
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		size = strings.TrimRight(size, " \t")
		n, err := strconv.ParseUint(size, 16, 32)
		if err != nil {
			return newError(400, "malformed chunk size")
		}
		p.remaining, p.state = int64(n), inChunk
		if n == 0 {
			p.state = inTrailer
		} else if p.OnBody == nil && int64(len(p.Msg.Body))+int64(n) > MaxBody {
			return newError(413, "body is longer than %d bytes", MaxBody)
		}
	case inChunkEnd:
		if line != "" {
			return newError(400, "chunk runs past its size")
		}
		p.state = inChunkSize
	case inTrailer: // trailer fields are ignored
		if line == "" {
			p.state = messageComplete
		} else if p.trailers++; p.trailers > MaxFields {
			return newError(431, "more than %d trailer fields", MaxFields)
		}
	}
	return nil
}

func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// isTarget reports whether s is a request target that may be forwarded. It accepts ASCII only: servers handle other bytes
// differently, and a forwarded target must not make one close the connection.
func isTarget(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != "" && (s[0] == '/' || s == "*" || strings.HasPrefix(s, "http://"))
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 421: "Misdirected Request", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	505: "HTTP Version Not Supported"}

// AppendResponse appends a complete response with its Content-Length. Fields are written unchanged.
func AppendResponse(b []byte, status int, keepAlive bool, body []byte, fields ...Field) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\n"...)
	if !keepAlive {
		fields = append(fields, Field{"Connection", "close"})
	}
	return appendFieldsAndBody(b, body, true, fields)
}

// AppendRequest appends a complete request. If body is nil, no Content-Length is written.
func AppendRequest(b []byte, method, target string, body []byte, fields ...Field) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\n"...)
	return appendFieldsAndBody(b, body, body != nil, fields)
}

func appendFieldsAndBody(b, body []byte, withLength bool, fields []Field) []byte {
	for _, f := range fields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	if withLength {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}
