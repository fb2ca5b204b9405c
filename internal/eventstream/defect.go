package eventstream

import (
	"fmt"
	"strconv"
)

// Defect names the way in which a stream departs from the protocol.
type Defect string

// All defects.
const (
	DefectEncoding   Defect = "encoding"    // a line is not UTF-8, or has a NUL or a carriage return within it
	DefectField      Defect = "field"       // a line is not a field, or its versions field is not a number
	DefectID         Defect = "id"          // an ID is not a whole number
	DefectRepeatedID Defect = "repeated_id" // an event has two IDs
	DefectNoID       Defect = "no_id"       // an event has no ID
	DefectNoData     Defect = "no_data"     // an event has no data
	DefectOrder      Defect = "order"       // an event's ID is not above that of the event before
	DefectTooLarge   Defect = "too_large"   // an event is larger than MaxEventBytes
	DefectUnfinished Defect = "unfinished"  // the stream ends within an event
	DefectEmpty      Defect = "empty"       // the stream ends without an event
	DefectBehind     Defect = "behind"      // a resumed stream ends before the event after which it resumes
)

// Defects returns all defects.
func Defects() []Defect {
	return []Defect{DefectEncoding, DefectField, DefectID, DefectRepeatedID, DefectNoID, DefectNoData, DefectOrder, DefectTooLarge,
		DefectUnfinished, DefectEmpty, DefectBehind}
}

// maxSampleBytes limits MalformedError.Sample.
const maxSampleBytes = 64

// MalformedError reports that a stream is not what the protocol allows.
type MalformedError struct {
	Defect Defect
	Sample []byte // the first bytes of the line or event in question, at most 64
}

func newMalformedError(defect Defect, context []byte) *MalformedError {
	return &MalformedError{Defect: defect, Sample: append([]byte(nil), context[:min(len(context), maxSampleBytes)]...)}
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed event stream: %s: %s", e.Defect, strconv.QuoteToASCII(string(e.Sample)))
}
