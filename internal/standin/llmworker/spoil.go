package llmworker

import (
	"fmt"
	"net/http"
	"strings"
)

// foreignBytes are bytes that are neither an event nor JSON.
const foreignBytes = "\x02 neither an event nor JSON\n\n"

// spoiledEvent is the number of the event in a stream that faults spoil.
const spoiledEvent = 2

// writeSpoiled writes what the planned fault puts in the place of an event. It reports whether the stream ends with it.
func (s *stream) writeSpoiled(event string) (done bool) {
	s.worker.config.Judge.AnswerAborted(s.incoming.id)
	switch s.incoming.fault {
	case FaultForeignEnd:
		s.write(foreignBytes)
		return true
	case FaultForeignBreak:
		s.write(foreignBytes)
		panic(http.ErrAbortHandler)
	case FaultUnfinishedEnd:
		s.write(event[:len(event)/2])
		return true
	case FaultLostID:
		_, withoutID, _ := strings.Cut(event, "\n")
		s.write(withoutID)
	case FaultRepeatedEvent:
		s.write(event + event)
	}
	return false
}

// spoiledPrefillAnswer returns what the planned fault puts in the place of the answer to a prefill.
func spoiledPrefillAnswer(fault Fault, answer string) string {
	switch fault {
	case FaultForeignEnd:
		return foreignBytes
	case FaultForeignBreak:
		return fmt.Sprintf(`{"KvHandle":%q,"Tokens":1,"Version":1}`, "no handle\r\nKv-From: other/1")
	case FaultUnfinishedEnd:
		return answer[:len(answer)/2]
	case FaultLostID:
		return "{}"
	default:
		return answer + answer
	}
}
