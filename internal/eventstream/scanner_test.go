package eventstream

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// scan feeds a stream in pieces of the sizes that size returns. It returns the events and the result of Finish.
func scan(scanner *Scanner, stream string, size func(remaining int) int) (events, ids []string, err error) {
	for len(stream) > 0 {
		n := size(len(stream))
		scanner.Feed([]byte(stream[:n]))
		stream = stream[n:]
		for event, ok := scanner.Next(); ok; event, ok = scanner.Next() {
			events = append(events, string(event.Raw))
			ids = append(ids, event.ID)
		}
	}
	return events, ids, scanner.Finish()
}

func whole(remaining int) int { return remaining }

func oneByte(int) int { return 1 }

func TestEventsDoNotDependOnChunking(t *testing.T) {
	lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"})
	optional := rapid.SampledFrom([]string{"", "versions: 2", ": comment", "event: token", "retry: 10", "later-field: x"})
	rapid.Check(t, func(t *rapid.T) {
		var want, wantIDs []string
		id := uint64(rapid.IntRange(0, 5).Draw(t, "first id"))
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			end := lineEnd.Draw(t, "end")
			var text strings.Builder
			if field := optional.Draw(t, "optional"); field != "" {
				text.WriteString(field + end)
			}
			fmt.Fprintf(&text, "id: %d%sdata:%s%sdata%s%s", id, end, rapid.StringMatching(`[a-zäß :]{0,12}`).Draw(t, "data"), end, end, end)
			want, wantIDs = append(want, text.String()), append(wantIDs, fmt.Sprint(id))
			id += uint64(rapid.IntRange(1, 40).Draw(t, "step"))
		}
		rest := rapid.SampledFrom([]string{"", "id: 99999", "data: x\n", "data: x\r\n\r"}).Draw(t, "rest")
		events, ids, err := scan(NewScanner(Resume{}), strings.Join(want, "")+rest, func(remaining int) int {
			return rapid.IntRange(1, remaining).Draw(t, "size")
		})
		if rest == "" {
			require.NoError(t, err)
		} else {
			var malformed *MalformedError
			require.ErrorAs(t, err, &malformed)
			require.Equal(t, DefectUnfinished, malformed.Defect)
			require.Equal(t, rest, string(malformed.Sample))
		}
		require.Equal(t, want, events)
		require.Equal(t, wantIDs, ids)
	})
}

// Guards against bytes that are no event of the protocol being taken for one, or for the end of a whole stream.
func TestMalformedStreamIsDetected(t *testing.T) {
	const sound = "id: 7\ndata: a\n\n"
	cases := map[string]struct {
		stream string
		want   Defect
	}{
		"no field":                     {sound + "garbage without fields\n\n", DefectField},
		"no field, no line end":        {sound + "garbage without fields", DefectUnfinished},
		"name is not a field name":     {sound + "id: 8\n<html>: x\ndata: b\n\n", DefectField},
		"version is not a number":      {sound + "versions: x\nid: 8\ndata: b\n\n", DefectField},
		"not UTF-8":                    {sound + "id: 8\ndata: \xff\xfe\n\n", DefectEncoding},
		"NUL":                          {sound + "id: 8\ndata: a\x00b\n\n", DefectEncoding},
		"carriage return in a line":    {sound + "id: 8\ndata: a\rid: 9\n\n", DefectEncoding},
		"no ID":                        {sound + "data: b\n\n", DefectNoID},
		"empty event":                  {sound + "\n", DefectNoID},
		"comment alone":                {sound + ": comment\n\n", DefectNoID},
		"empty ID":                     {sound + "id:\ndata: b\n\n", DefectID},
		"ID is not a number":           {sound + "id: 8a\ndata: b\n\n", DefectID},
		"negative ID":                  {sound + "id: -8\ndata: b\n\n", DefectID},
		"ID above 64 bits":             {sound + "id: 99999999999999999999\ndata: b\n\n", DefectID},
		"two IDs":                      {sound + "id: 8\nid: 9\ndata: b\n\n", DefectRepeatedID},
		"no data":                      {sound + "id: 8\n\n", DefectNoData},
		"same ID":                      {sound + sound, DefectOrder},
		"lower ID":                     {sound + "id: 6\ndata: b\n\n", DefectOrder},
		"ends within an event":         {sound + "id: 8\ndata: b\n", DefectUnfinished},
		"ends within a line":           {sound + "id: 8\ndata", DefectUnfinished},
		"ends before the first event":  {"", DefectEmpty},
		"event above the limit":        {sound + "id: 8\ndata: " + strings.Repeat("x", MaxEventBytes) + "\n\n", DefectTooLarge},
		"many lines above the limit":   {sound + strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 300) + "id: 8\n\n", DefectTooLarge},
		"never a line end, never ends": {sound + strings.Repeat("x", MaxEventBytes+1), DefectTooLarge},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			for _, size := range []func(int) int{whole, oneByte} {
				if len(each.stream) > MaxEventBytes {
					size = whole // a byte at a time, the search for the line end takes too long
				}
				events, _, err := scan(NewScanner(Resume{}), each.stream, size)
				var malformed *MalformedError
				require.ErrorAs(t, err, &malformed)
				require.Equal(t, each.want, malformed.Defect)
				require.LessOrEqual(t, len(malformed.Sample), maxSampleBytes)
				require.LessOrEqual(t, len(events), 1, "nothing after the first defect is an event")
			}
		})
	}
}

// Guards against a stream that goes on after a defect: what follows may belong to anything.
func TestNoEventFollowsADefect(t *testing.T) {
	scanner := NewScanner(Resume{})
	events, _, err := scan(scanner, "id: 1\ndata: a\n\ngarbage\n\nid: 2\ndata: b\n\n", whole)
	require.Equal(t, []string{"id: 1\ndata: a\n\n"}, events)
	require.EqualError(t, err, `malformed event stream: field: "garbage"`)
	require.Equal(t, err, scanner.Err())
	scanner.Feed([]byte("id: 3\ndata: c\n\n"))
	_, ok := scanner.Next()
	require.False(t, ok)
}

func TestResumedStreamStartsAfterLastEvent(t *testing.T) {
	event := func(ids ...int) string {
		var text strings.Builder
		for _, id := range ids {
			fmt.Fprintf(&text, "id: %d\ndata: x\n\n", id)
		}
		return text.String()
	}
	cases := map[string]struct {
		after, stream string
		wantIDs       []string
		want          Defect
		claimed       bool // the client alone names the event
	}{
		"at the next event":             {after: "4", stream: event(5, 6), wantIDs: []string{"5", "6"}},
		"earlier":                       {after: "4", stream: event(3, 4, 5), wantIDs: []string{"5"}},
		"after an event 0":              {after: "0", stream: event(0, 1), wantIDs: []string{"1"}},
		"nothing is left":               {after: "4"},
		"the last event alone":          {after: "4", stream: event(4)},
		"ends before it":                {after: "4", stream: event(1, 2), want: DefectBehind},
		"ends before a claimed event":   {after: "4", stream: event(1, 2), claimed: true},
		"claimed event is not the last": {after: "4", stream: event(4, 5), wantIDs: []string{"5"}, claimed: true},
		"skipped events must rise":      {after: "4", stream: event(3, 2, 5), want: DefectOrder},
		"skipped events are whole":      {after: "4", stream: event(3) + "data: x\n\n" + event(5), want: DefectNoID},
		"claimed ID is no number":       {after: "x", stream: event(1), wantIDs: []string{"1"}, claimed: true},
		"claimed, nothing is left":      {after: "x", claimed: true},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			_, ids, err := scan(NewScanner(Resume{Requested: true, After: each.after, Relayed: !each.claimed}), each.stream, oneByte)
			require.Equal(t, each.wantIDs, ids)
			if each.want == "" {
				require.NoError(t, err)
				return
			}
			var malformed *MalformedError
			require.ErrorAs(t, err, &malformed)
			require.Equal(t, each.want, malformed.Defect)
		})
	}
}

func FuzzScannerReturnsOnlySoundEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\ngarbage\n\n"), 3)
	f.Add([]byte("versions: 2\r\nid: 1\r\ndata: a\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		_, ids, _ := scan(NewScanner(Resume{}), string(stream), func(remaining int) int { return max(1, min(size, remaining)) })
		var last uint64
		for i, id := range ids {
			number, err := strconv.ParseUint(id, 10, 64)
			require.NoError(t, err)
			require.True(t, i == 0 || number > last)
			last = number
		}
	})
}
