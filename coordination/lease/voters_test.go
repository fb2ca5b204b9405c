package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A member that has left the set of voters would help a holder that knows the former set only, while the present voters have
// another.
func TestAMemberThatIsNoVoterGrantsNothing(t *testing.T) {
	set := newTable(t, "a", "b", "c")
	holder, others := set.settle()
	leaver := others[0]
	set.deciders[leaver].Learn(set.now, []string{holder, others[1], "d"}, nil)
	reply := set.deciders[leaver].Receive(set.now, set.deciders[holder].Heartbeat(set.now, true))
	require.Empty(t, reply.Granted)
	reply = set.deciders[others[1]].Receive(set.now, set.deciders[holder].Heartbeat(set.now, true))
	require.Len(t, reply.Granted, 1)
}
