package http1

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// parseAll feeds the text in pieces of the given size and describes the result: each complete message as
// "start|fields|body|keep-alive", then the status of the error, if any, or "half" for an incomplete message.
func parseAll(p *Parser, text string, size int) (out []string) {
	partial := false
	for rest := []byte(text); len(rest) > 0; {
		n, complete, err := p.Feed(rest[:min(size, len(rest))])
		rest, partial = rest[n:], !p.Idle()
		if err != nil {
			return append(out, fmt.Sprint(err.(*Error).Status))
		}
		if complete {
			out, partial = append(out, describe(&p.Msg)), false
			p.Reset()
		}
	}
	if p.End() {
		return append(out, describe(&p.Msg))
	}
	if partial {
		out = append(out, "half")
	}
	return out
}

func describe(m *Message) string {
	start := m.Method + " " + m.Target
	if m.Status != 0 {
		start = fmt.Sprint(m.Status)
	}
	return fmt.Sprintf("%s|%d|%s|%v", start, len(m.Fields), m.Body, m.KeepAlive)
}

func TestRequests(t *testing.T) {
	const post = "POST /a HTTP/1.1\r\nHost: a\r\n"
	for name, c := range map[string]struct {
		in   string
		want []string
	}{
		"plain":               {"GET /x?y=1 HTTP/1.1\r\nHost: a\r\n\r\n", []string{"GET /x?y=1|1||true"}},
		"length":              {post + "Content-Length: 3\r\n\r\nabc", []string{"POST /a|2|abc|true"}},
		"two pipelined":       {post + "Content-Length: 1\r\n\r\nxGET / HTTP/1.1\r\nHost: a\r\n\r\n", []string{"POST /a|2|x|true", "GET /|1||true"}},
		"chunks":              {post + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n", []string{"POST /a|2|abcde|true"}},
		"empty lines before":  {"\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", []string{"GET /|1||true"}},
		"close":               {"GET / HTTP/1.1\r\nHost: a\r\nConnection: foo, Close\r\n\r\n", []string{"GET /|2||false"}},
		"old version":         {"GET / HTTP/1.0\r\n\r\n", []string{"GET /|0||false"}},
		"old, keep-alive":     {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", []string{"GET /|1||true"}},
		"same length twice":   {post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", []string{"400"}},
		"codings twice":       {post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", []string{"400"}},
		"empty coding":        {post + "Transfer-Encoding:\r\nContent-Length: 1\r\n\r\nx", []string{"400"}},
		"length and gzip":     {post + "Content-Length: 1\r\nTransfer-Encoding: gzip\r\n\r\nx", []string{"400"}},
		"coding in capitals":  {post + "Transfer-Encoding: Chunked\r\nContent-Length: 1\r\n\r\n", []string{"400"}},
		"negative length":     {post + "Content-Length: -1\r\n\r\n", []string{"400"}},
		"huge length":         {post + "Content-Length: 99999999999999999999\r\n\r\n", []string{"400"}},
		"target not ASCII":    {"POST /\xc3\xa4 HTTP/1.1\r\n\r\n", []string{"400"}},
		"line feeds only":     {"POST /a HTTP/1.1\nA: b\n\n", []string{"400"}},
		"no host":             {"GET / HTTP/1.1\r\n\r\n", []string{"400"}},
		"two hosts":           {"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", []string{"400"}},
		"half head":           {"POST /a HTT", []string{"half"}},
		"half body":           {post + "Content-Length: 3\r\n\r\nab", []string{"half"}},
		"half chunk":          {post + "Transfer-Encoding: chunked\r\n\r\n3\r\nab", []string{"half"}},
		"no target":           {"GET HTTP/1.1\r\n\r\n", []string{"400"}},
		"not HTTP":            {"\x16\x03\x01\x02\r\n\r\n", []string{"400"}},
		"version 2":           {"GET / HTTP/2.0\r\n\r\n", []string{"505"}},
		"space before colon":  {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", []string{"400"}},
		"folded field":        {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", []string{"400"}},
		"bare line feed":      {"GET / HTTP/1.1\r\nA: b\nContent-Length: 5\r\n\r\n", []string{"400"}},
		"lengths differ":      {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx", []string{"400"}},
		"length not a number": {post + "Content-Length: +1\r\n\r\nx", []string{"400"}},
		"empty length":        {post + "Content-Length:\r\n\r\nx", []string{"400"}},
		"length and chunks":   {post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []string{"400"}},
		"other coding":        {post + "Transfer-Encoding: gzip\r\n\r\n", []string{"501"}},
		"bad chunk size":      {post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", []string{"400"}},
		"no chunk size":       {post + "Transfer-Encoding: chunked\r\n\r\n\r\n", []string{"400"}},
		"chunk too long":      {post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", []string{"400"}},
		"endless size line":   {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 2000), []string{"400"}},
		"body too large":      {post + "Content-Length: 65537\r\n\r\n", []string{"413"}},
		"chunks too large":    {post + "Transfer-Encoding: chunked\r\n\r\nffff\r\n" + strings.Repeat("x", 65535) + "\r\n2\r\n", []string{"413"}},
		"largest body":        {post + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536), []string{"POST /a|2|" + strings.Repeat("x", 65536) + "|true"}},
		"head too large":      {"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", MaxHead) + "\r\n\r\n", []string{"431"}},
		"too many fields":     {"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxFields+1) + "\r\n", []string{"431"}},
	} {
		for _, size := range []int{1 << 20, 7, 1} {
			assert.Equal(t, c.want, parseAll(NewRequestParser(), c.in, size), "%s, in pieces of %d", name, size)
		}
	}
}

func TestResponses(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want []string
	}{
		"length":         {"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 2\r\n\r\nno", []string{"503|2|no|true"}},
		"no reason":      {"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", []string{"200|1||true"}},
		"to the end":     {"HTTP/1.1 200 OK\r\n\r\nabc", []string{"200|0|abc|false"}},
		"chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", []string{"200|1|a|true"}},
		"half chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", []string{"half"}},
		"interim":        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", []string{"200|1||true"}},
		"no content":     {"HTTP/1.1 204 No Content\r\n\r\n", []string{"204|0||true"}},
		"bad status":     {"HTTP/1.1 2x0 OK\r\n\r\n", []string{"502"}},
		"not a response": {"hello\r\n\r\n", []string{"502"}},
	} {
		for _, size := range []int{1 << 20, 1} {
			assert.Equal(t, c.want, parseAll(NewResponseParser(), c.in, size), "%s, in pieces of %d", name, size)
		}
	}
}

func TestWrittenMessagesParse(t *testing.T) {
	b := AppendRequest(nil, "POST", "/a?b", []byte("body"), Field{"Host", "a"}, Field{"X-Call-Id", "7"})
	assert.Equal(t, []string{"POST /a?b|3|body|true"}, parseAll(NewRequestParser(), string(b), 1))
	b = AppendResponse(nil, 503, false, []byte("no"), Field{"Retry-After", "0.5"})
	assert.Equal(t, []string{"503|3|no|false"}, parseAll(NewResponseParser(), string(b), 1))
}

func FuzzFeedingInPiecesChangesNothing(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", 3)
	f.Fuzz(func(t *testing.T, text string, size int) {
		whole := parseAll(NewRequestParser(), text, len(text)+1)
		assert.Equal(t, whole, parseAll(NewRequestParser(), text, max(1, size)))
	})
}
