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

// checkTimeout bounds the search for an order of the operators' history.
const checkTimeout = 5 * time.Second

// checks look at all that happens, from where no program can.
type checks struct {
	violation string // the first one

	accepts map[register.Ballot]map[string]bool // identities that hold the value under the ballot
	chosen  map[register.Ballot]register.Value
	newest  register.Accepted
	byIndex map[uint64]register.Value // chosen values by revision

	actors  map[uint64]lease.Member // by token
	lists   map[fleetwire.ListVersion]string
	highest uint64 // token that was held

	history []record
	acked   []string
}

// record is an operation as its client saw it.
type record struct {
	called, ended time.Duration
	id            string // empty for a read
	seen          []string
	finished      bool
	void          bool // it failed for certain, or is a read without an answer
}

func newChecks(founders []string) *checks {
	genesis := register.Genesis(register.FoundingSet(founders))
	return &checks{
		accepts: map[register.Ballot]map[string]bool{},
		chosen:  map[register.Ballot]register.Value{genesis.Ballot: genesis.Value},
		byIndex: map[uint64]register.Value{0: genesis.Value},
		newest:  genesis,
		actors:  map[uint64]lease.Member{},
		lists:   map[fleetwire.ListVersion]string{},
	}
}

func (c *checks) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

// accepted notes that a value is durable at an identity, and checks that one value follows another.
func (c *checks) accepted(id string, accepted register.Accepted) {
	if c.accepts[accepted.Ballot] == nil {
		c.accepts[accepted.Ballot] = map[string]bool{}
	}
	c.accepts[accepted.Ballot][id] = true
	if _, known := c.chosen[accepted.Ballot]; known {
		return
	}
	if !accepted.Value.Quorum(func(id string) bool { return c.accepts[accepted.Ballot][id] }) {
		return
	}
	c.chosen[accepted.Ballot] = accepted.Value
	c.follows(accepted.Value)
	if c.newest.Ballot.Less(accepted.Ballot) {
		c.newest = accepted
	}
}

// follows checks a chosen value against those of the revisions beside it.
func (c *checks) follows(value register.Value) {
	if other, taken := c.byIndex[value.Revision]; taken && other.Origin != value.Origin {
		c.fail("two values chosen as revision %d", value.Revision)
	}
	c.byIndex[value.Revision] = value
	for revision, other := range c.byIndex {
		older, newer := other, value
		if revision > value.Revision {
			older, newer = value, other
		}
		if !extends(older, newer) {
			c.fail("revision %d does not hold what revision %d does", newer.Revision, older.Revision)
		}
	}
}

func extends(older, newer register.Value) bool {
	before, after := decodeState(older.Data), decodeState(newer.Data)
	return len(before.Log) <= len(after.Log) && slices.Equal(before.Log, after.Log[:len(before.Log)]) &&
		before.Reader.Token <= after.Reader.Token
}

// learnt checks that what a process takes for chosen is.
func (c *checks) learnt(accepted register.Accepted) {
	if _, chosen := c.chosen[accepted.Ballot]; !chosen {
		c.fail("revision %d was taken for chosen", accepted.Value.Revision)
	}
}

// acted checks an act of the holder of the role: a token is used by one life of one process.
func (c *checks) acted(member lease.Member, message listMessage) {
	token := message.Version.Token
	if actor, used := c.actors[token]; used && actor != member {
		c.fail("%v and %v acted under token %d", actor, member, token)
	}
	c.actors[token] = member
	if _, used := c.lists[message.Version]; used {
		c.fail("two lists of version %v", message.Version)
	}
	c.lists[message.Version] = message.Content
}

// followed checks a step of a follower: it never goes back, and what it holds was chosen or read under that version.
func (c *checks) followed(name string, before, after *watch.Snapshot) {
	if before != nil && (after.Version.ConfigRevision < before.Version.ConfigRevision ||
		after.Version.Instances.Less(before.Version.Instances)) {
		c.fail("%s went back from %v to %v", name, before.Version, after.Version)
	}
	if revision := after.Version.ConfigRevision; revision > 0 {
		log := decodeState(c.newest.Value.Data).Log
		if uint64(len(log)) < revision || after.Config.Routes[0].Name != log[revision-1] {
			c.fail("%s follows a configuration %d that was not chosen", name, revision)
		}
	}
	if version := after.Version.Instances; version != (fleetwire.ListVersion{}) && after.Instances[0].ID != c.lists[version] {
		c.fail("%s holds a list %v that nobody read", name, version)
	}
}

// holders checks that no two processes hold the role at one moment, and that tokens rise.
func (c *checks) holders(tokens []uint64) {
	if len(tokens) > 1 {
		c.fail("%d holders at once, tokens %v", len(tokens), tokens)
	}
	for _, token := range tokens {
		if token < c.highest {
			c.fail("token %d holds after token %d", token, c.highest)
		}
		c.highest = max(c.highest, token)
	}
}

// acknowledgedSurvive checks that the newest chosen state holds all that was acknowledged.
func (c *checks) acknowledgedSurvive() {
	log := decodeState(c.newest.Value.Data).Log
	for _, id := range c.acked {
		if !slices.Contains(log, id) {
			c.fail("%s was acknowledged and is lost", id)
		}
	}
}

// linearizable looks for an order of the history in which each operation takes effect at once. The log of the newest chosen
// state tells the order of the changes, so that the search is short; a change that isn't in it never took effect.
func (c *checks) linearizable() {
	log := decodeState(c.newest.Value.Data).Log
	var operations []porcupine.Operation
	for client, r := range c.history {
		if r.void || !r.finished && (r.id == "" || !slices.Contains(log, r.id)) {
			continue
		}
		operation := porcupine.Operation{ClientId: client, Input: r.id, Output: r.seen, Call: int64(r.called), Return: int64(r.ended)}
		if !r.finished {
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
		c.fail("linearizable: %v: %v%s", result, log, describe(c.history))
	}
}

func describe(history []record) string {
	var text strings.Builder
	for _, r := range history {
		fmt.Fprintf(&text, "\n%v to %v: %q saw %v, finished %v, void %v", r.called, r.ended, r.id, r.seen, r.finished, r.void)
	}
	return text.String()
}
