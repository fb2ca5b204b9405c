package eventstream

import (
	"bytes"
	"strconv"
	"unicode/utf8"
)

// Names of the fields that the protocol gives a meaning.
const (
	fieldID       = "id"
	fieldData     = "data"
	fieldVersions = "versions" // the version of the model from this event on
)

// eventFields holds what the lines of one event have stated so far.
type eventFields struct {
	hasID   bool
	id      string
	number  uint64 // value of id
	hasData bool
}

// add takes the next line of the event, without its line end. It returns a defect, or an empty string.
func (f *eventFields) add(line []byte) Defect {
	if !utf8.Valid(line) || bytes.ContainsAny(line, "\x00\r") {
		return DefectEncoding
	}
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	if len(name) == 0 {
		return "" // a comment
	}
	value = bytes.TrimPrefix(value, []byte{' '})
	switch {
	case string(name) == fieldData:
		f.hasData = true
	case string(name) == fieldID:
		return f.setID(value)
	case string(name) == fieldVersions && !isNumber(value):
		return DefectField
	case !hasColon, !isFieldName(name):
		return DefectField
	}
	return ""
}

func (f *eventFields) setID(value []byte) Defect {
	if f.hasID {
		return DefectRepeatedID
	}
	number, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return DefectID
	}
	f.hasID, f.id, f.number = true, string(value), number
	return ""
}

func isNumber(value []byte) bool {
	_, err := strconv.ParseUint(string(value), 10, 64)
	return err == nil
}

// isFieldName reports whether a name consists of letters, digits, hyphens and underscores. Fields of unknown names are allowed,
// as the standard demands.
func isFieldName(name []byte) bool {
	for _, c := range name {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}
