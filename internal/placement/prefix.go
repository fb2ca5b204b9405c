package placement

import (
	"slices"

	"weldscale/coordination/rendezvous"
	"weldscale/internal/fleetwire"
)

// unitTokens is how many tokens of a prompt count as one slot of a worker that reads prompts.
const unitTokens = 1024

// units is the work of reading that many tokens, in slots.
func units(tokens int) float64 { return float64(tokens) / unitTokens }

// sharedPrefix names the longest part of a prompt that other requests may have in common with it, and counts its tokens. The last
// part is a request's or session's own.
func sharedPrefix(parts []PromptPart) (id string, tokens int) {
	if len(parts) < 2 {
		return "", 0
	}
	shared := parts[:len(parts)-1]
	for _, part := range shared {
		tokens += part.Tokens
	}
	return shared[len(shared)-1].ID, tokens
}

// home is the worker that keeps the prefix of that name, by rendezvous hashing: all routers name the same one without a word
// between them, and when a worker leaves only its own prefixes move.
func home(prefix string, workers []fleetwire.Instance) string {
	if prefix == "" {
		return ""
	}
	return rendezvous.First(prefix, workers, func(worker *fleetwire.Instance) string { return worker.ID })
}

// readyOf returns the workers of a list that take work.
func readyOf(workers []fleetwire.Instance) []fleetwire.Instance {
	return slices.DeleteFunc(slices.Clone(workers), func(w fleetwire.Instance) bool {
		return w.State != fleetwire.InstanceReady
	})
}
