package placement

import (
	"slices"

	"weldscale/coordination/rendezvous"
	"weldscale/internal/fleetwire"
)

// tokensPerUnit is the number of prompt tokens that count as one slot of a prefill worker.
const tokensPerUnit = 1024

// prefillUnits returns the slots that the prefill of this many tokens takes.
func prefillUnits(tokens int) float64 { return float64(tokens) / tokensPerUnit }

// sharedPrefix returns the ID and the tokens of the longest prefix of a prompt that other requests may share. That is all but
// the last part, which belongs to one request or session.
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

// prefixHolder returns the ID of the worker that caches the prefix, by rendezvous hashing: all routers choose the same worker
// without coordination, and if a worker leaves, only the prefixes that it held move.
func prefixHolder(prefix string, workers []fleetwire.Instance) string {
	if prefix == "" {
		return ""
	}
	return rendezvous.First(prefix, workers, func(worker *fleetwire.Instance) string { return worker.ID })
}

// readyInstances returns the workers of a list that accept jobs.
func readyInstances(workers []fleetwire.Instance) []fleetwire.Instance {
	return slices.DeleteFunc(slices.Clone(workers), func(w fleetwire.Instance) bool {
		return w.State != fleetwire.InstanceReady
	})
}
