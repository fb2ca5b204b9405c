package router

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEventsDoNotDependOnChunking(t *testing.T) {
	lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"})
	rapid.Check(t, func(t *rapid.T) {
		var want []string
		var ids []string
		for number := range rapid.IntRange(0, 8).Draw(t, "events") {
			end := lineEnd.Draw(t, "end")
			var text strings.Builder
			if rapid.Bool().Draw(t, "versions") {
				text.WriteString("versions: 2" + end)
			}
			fmt.Fprintf(&text, "id: %d%sdata: %s%s%s", number, end,
				rapid.StringMatching(`[a-z :]{0,12}`).Draw(t, "data"), end, end)
			want = append(want, text.String())
			ids = append(ids, fmt.Sprint(number))
		}
		rest := rapid.SampledFrom([]string{"", "id: 9", "data: x\n", "data: x\r\n\r"}).Draw(t, "rest")
		stream := []byte(strings.Join(want, "") + rest)
		var scanner eventScanner
		var got, gotIDs []string
		for len(stream) > 0 {
			size := rapid.IntRange(1, len(stream)).Draw(t, "size")
			scanner.feed(stream[:size])
			stream = stream[size:]
			for {
				next, whole := scanner.next()
				if !whole {
					break
				}
				got = append(got, string(next.raw))
				gotIDs = append(gotIDs, string(next.id))
			}
		}
		require.Equal(t, want, got)
		require.Equal(t, ids, gotIDs)
		require.Equal(t, rest, string(scanner.rest()))
	})
}

func TestScannerContinuesAfterTakeRest(t *testing.T) {
	var scanner eventScanner
	scanner.feed([]byte("id: 1\ndata: a"))
	require.Equal(t, "id: 1\ndata: a", string(scanner.takeRest()))
	scanner.feed([]byte("b\n\nid: 2\n\n"))
	next, whole := scanner.next()
	require.True(t, whole)
	require.Equal(t, "b\n\n", string(next.raw))
	next, whole = scanner.next()
	require.True(t, whole)
	require.Equal(t, "2", string(next.id))
}
