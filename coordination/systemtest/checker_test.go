package systemtest

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"weldscale/coordination/lease"
	"weldscale/coordination/register"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// checkTimeout limits the linearizability check of the operator's history.
const checkTimeout = 5 * time.Second

// checker observes the whole deployment, which no program in it can, and records the first violation of a rule.
type checker struct {
	violation string // the first violation, empty if none

	acceptedBy map[register.Ballot]map[string]bool // identities that have accepted the value of a ballot
	chosen     map[register.Ballot]register.Value
	newest     register.Accepted         // chosen value with the highest ballot
	byRevision map[uint64]register.Value // chosen values by revision

	actorByToken     map[uint64]lease.Member          // holder that acted under a token
	contentByVersion map[fleetwire.ListVersion]string // content of the list of a version
	highestToken     uint64                           // highest token that was held

	history      []historyEntry
	acknowledged []string // identifiers of the acknowledged changes
}

// historyEntry is an operation as observed by its client.
type historyEntry struct {
	called, ended time.Duration
	id            string   // empty for a read
	result        []string // log that a read returned
	finished      bool
	excluded      bool // it certainly had no effect, or it is a read without a result
}

func newChecker(founders []string) *checker {
	genesis := register.Genesis(register.FoundingSet(founders))
	return &checker{
		acceptedBy:       map[register.Ballot]map[string]bool{},
		chosen:           map[register.Ballot]register.Value{genesis.Ballot: genesis.Value},
		byRevision:       map[uint64]register.Value{0: genesis.Value},
		newest:           genesis,
		actorByToken:     map[uint64]lease.Member{},
		contentByVersion: map[fleetwire.ListVersion]string{},
	}
}

func (c *checker) recordViolation(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

// recordAccept records that a replica identity holds a value durably, and checks the value once a quorum has accepted it.
func (c *checker) recordAccept(id string, accepted register.Accepted) {
	if c.acceptedBy[accepted.Ballot] == nil {
		c.acceptedBy[accepted.Ballot] = map[string]bool{}
	}
	c.acceptedBy[accepted.Ballot][id] = true
	if _, known := c.chosen[accepted.Ballot]; known {
		return
	}
	if !accepted.Value.Quorum(func(id string) bool { return c.acceptedBy[accepted.Ballot][id] }) {
		return
	}
	c.chosen[accepted.Ballot] = accepted.Value
	c.checkChosen(accepted.Value)
	if c.newest.Ballot.Less(accepted.Ballot) {
		c.newest = accepted
	}
}

// checkChosen checks that a chosen value is the only one of its revision and is consistent with all other chosen values.
func (c *checker) checkChosen(value register.Value) {
	if other, exists := c.byRevision[value.Revision]; exists && other.Origin != value.Origin {
		c.recordViolation("two values chosen as revision %d", value.Revision)
	}
	c.byRevision[value.Revision] = value
	for revision, other := range c.byRevision {
		older, newer := other, value
		if revision > value.Revision {
			older, newer = value, other
		}
		if !extends(older, newer) {
			c.recordViolation("revision %d does not extend revision %d", newer.Revision, older.Revision)
		}
	}
}

// extends reports whether the log of the newer value begins with that of the older one, and its token is not lower.
func extends(older, newer register.Value) bool {
	before, after := decodeState(older.Data), decodeState(newer.Data)
	return len(before.Log) <= len(after.Log) && slices.Equal(before.Log, after.Log[:len(before.Log)]) &&
		before.Reader.Token <= after.Reader.Token
}

// checkLearned checks that a value that a process learned as chosen is chosen.
func (c *checker) checkLearned(accepted register.Accepted) {
	if _, chosen := c.chosen[accepted.Ballot]; !chosen {
		c.recordViolation("revision %d was learned as chosen, but is not", accepted.Value.Revision)
	}
}

// checkAction checks an action of the holder of the role. A token is used by one run of one process only, and each version of
// the list once.
func (c *checker) checkAction(member lease.Member, message listMessage) {
	token := message.Version.Token
	if actor, used := c.actorByToken[token]; used && actor != member {
		c.recordViolation("%v and %v acted under token %d", actor, member, token)
	}
	c.actorByToken[token] = member
	if _, used := c.contentByVersion[message.Version]; used {
		c.recordViolation("two lists of version %v", message.Version)
	}
	c.contentByVersion[message.Version] = message.Content
}

// checkSnapshot checks a new snapshot of a follower. Its version never decreases, its configuration was chosen, and its list
// was read under that version.
func (c *checker) checkSnapshot(name string, before, after *watch.Snapshot) {
	if before != nil && (after.Version.ConfigRevision < before.Version.ConfigRevision ||
		after.Version.Instances.Less(before.Version.Instances)) {
		c.recordViolation("%s went back from %v to %v", name, before.Version, after.Version)
	}
	if revision := after.Version.ConfigRevision; revision > 0 {
		log := decodeState(c.newest.Value.Data).Log
		if uint64(len(log)) < revision || after.Config.Routes[0].Name != log[revision-1] {
			c.recordViolation("%s has configuration %d, which was not chosen", name, revision)
		}
	}
	if version := after.Version.Instances; version != (fleetwire.ListVersion{}) &&
		after.Instances[0].ID != c.contentByVersion[version] {
		c.recordViolation("%s has list %v, which no controller read", name, version)
	}
}

// checkHolders checks that at most one process holds the role at a time, and that its token never decreases.
func (c *checker) checkHolders(tokens []uint64) {
	if len(tokens) > 1 {
		c.recordViolation("%d holders at once, tokens %v", len(tokens), tokens)
	}
	for _, token := range tokens {
		if token < c.highestToken {
			c.recordViolation("token %d is held after token %d", token, c.highestToken)
		}
		c.highestToken = max(c.highestToken, token)
	}
}

// checkAcknowledged checks that the newest chosen state contains all acknowledged changes.
func (c *checker) checkAcknowledged() {
	log := decodeState(c.newest.Value.Data).Log
	for _, id := range c.acknowledged {
		if !slices.Contains(log, id) {
			c.recordViolation("acknowledged change %s is lost", id)
		}
	}
}

// checkLinearizable checks that the history is linearizable. The log of the newest chosen state determines the order of the
// changes, which keeps the search short. A change that is not in the log has never taken effect.
func (c *checker) checkLinearizable() {
	log := decodeState(c.newest.Value.Data).Log
	var operations []porcupine.Operation
	for client, entry := range c.history {
		if entry.excluded || !entry.finished && (entry.id == "" || !slices.Contains(log, entry.id)) {
			continue
		}
		operation := porcupine.Operation{ClientId: client, Input: entry.id, Output: entry.result,
			Call: int64(entry.called), Return: int64(entry.ended)}
		if !entry.finished {
			operation.Return = math.MaxInt64
		}
		operations = append(operations, operation)
	}
	model := porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			length := state.(int)
			if id := input.(string); id != "" {
				return length < len(log) && log[length] == id, length + 1
			}
			return slices.Equal(log[:length], output.([]string)), length
		},
	}
	if result := porcupine.CheckOperationsTimeout(model, operations, checkTimeout); result != porcupine.Ok {
		c.recordViolation("history not linearizable: %v: %v%s", result, log, formatHistory(c.history))
	}
}

func formatHistory(history []historyEntry) string {
	var text strings.Builder
	for _, entry := range history {
		fmt.Fprintf(&text, "\n%v to %v: %q saw %v, finished %v, excluded %v",
			entry.called, entry.ended, entry.id, entry.result, entry.finished, entry.excluded)
	}
	return text.String()
}
