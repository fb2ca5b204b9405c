package controller

import (
	"context"
	"net/http"
	"time"

	"weldscale/coordination/register"
)

// stateRegister is what the controller needs of the replicated register.
type stateRegister interface {
	Update(ctx context.Context, change func(data []byte) ([]byte, error)) (register.State, error)
	Read(ctx context.Context) (register.State, error)
	Latest() register.State
	Changed() <-chan struct{}
	QuorumAge() time.Duration
	SetInDoubt() bool
	WaitFormed(ctx context.Context) error
	Leave(ctx context.Context) error
	Close(ctx context.Context)
	Register(mux *http.ServeMux)
}

// maxQuorumAge is the age beyond which a controller counts itself as cut off: it turns operators and watchers away and
// takes no roles.
const maxQuorumAge = 700 * time.Millisecond

func hasQuorum(node stateRegister) bool { return node.QuorumAge() <= maxQuorumAge }

// update changes the control state by a pure decision.
func updateState(ctx context.Context, node stateRegister, decide func(controlState) (controlState, error)) error {
	_, err := node.Update(ctx, func(data []byte) ([]byte, error) {
		state, err := decodeState(data)
		if err != nil {
			return nil, err
		}
		next, err := decide(state)
		if err != nil {
			return nil, err
		}
		return next.encode()
	})
	return err
}

func replicaAddresses(state register.State) []string {
	addresses := make([]string, 0, len(state.Replicas))
	for _, replica := range state.Replicas {
		addresses = append(addresses, replica.Address)
	}
	return addresses
}
