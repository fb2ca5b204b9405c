package router

import "bytes"

// eventScanner splits a stream of server-sent events into whole events. The stream may be fed in pieces of any size. An event
// ends with an empty line; lines end with LF or CRLF.
type eventScanner struct {
	buffer []byte // bytes that were fed and may still be needed
	start  int    // offset of the current event
	line   int    // offset of the current line
}

// event is one whole event as the worker sent it. Its bytes are valid until the next call of feed.
type event struct {
	raw []byte // including the empty line at its end
	id  []byte // value of its last id field, or nil
}

// feed appends the next bytes of the stream.
func (s *eventScanner) feed(data []byte) {
	if s.start > 0 {
		kept := copy(s.buffer, s.buffer[s.start:])
		s.buffer = s.buffer[:kept]
		s.line -= s.start
		s.start = 0
	}
	s.buffer = append(s.buffer, data...)
}

// next returns the next whole event. It returns false if no event is complete.
func (s *eventScanner) next() (event, bool) {
	for {
		length := bytes.IndexByte(s.buffer[s.line:], '\n')
		if length < 0 {
			return event{}, false
		}
		end := s.line + length
		empty := len(bytes.TrimSuffix(s.buffer[s.line:end], carriageReturn)) == 0
		s.line = end + 1
		if empty {
			raw := s.buffer[s.start:s.line]
			s.start = s.line
			return event{raw: raw, id: eventID(raw)}, true
		}
	}
}

// rest returns the bytes after the last whole event.
func (s *eventScanner) rest() []byte { return s.buffer[s.start:] }

// takeRest returns the bytes after the last whole event and removes them from the scanner.
func (s *eventScanner) takeRest() []byte {
	taken := s.buffer[s.start:]
	s.start, s.line = len(s.buffer), len(s.buffer)
	return taken
}

var (
	carriageReturn = []byte{'\r'}
	idField        = []byte("id")
)

// eventID returns the value of the last id field of an event, or nil.
func eventID(raw []byte) []byte {
	var id []byte
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, carriageReturn)
		name, value, _ := bytes.Cut(line, []byte{':'})
		if bytes.Equal(name, idField) {
			id = bytes.TrimPrefix(value, []byte{' '})
		}
	}
	return id
}
