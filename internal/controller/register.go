package controller

import (
	"context"
	"net/http"
	"time"

	"weldscale/coordination/register"
)

// stateRegister is the part of the replicated register that the controller uses.
type stateRegister interface {
	Update(ctx context.Context, change func(data []byte) ([]byte, error)) (register.State, error)
	Read(ctx context.Context) (register.State, error)
	Latest() register.State
	Changed() <-chan struct{}
	QuorumAge() time.Duration
	StateAge() time.Duration
	ReplicaSetInDoubt() bool
	WaitFormed(ctx context.Context) error
	Leave(ctx context.Context) error
	Close(ctx context.Context)
	Register(mux *http.ServeMux)
}

// maxQuorumAge is the age of the last contact with a majority beyond which a controller considers itself cut off. It then
// rejects the calls of operators and subscribers and claims no roles.
const maxQuorumAge = 700 * time.Millisecond

// hasQuorum reports whether a majority of the replicas answered recently enough.
func hasQuorum(node stateRegister) bool { return node.QuorumAge() <= maxQuorumAge }

// updateState replaces the control state with the result of decide, which must be a pure function.
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

// replicaAddresses returns the addresses of the replicas of a state, in their order.
func replicaAddresses(state register.State) []string {
	addresses := make([]string, 0, len(state.Replicas))
	for _, replica := range state.Replicas {
		addresses = append(addresses, replica.Address)
	}
	return addresses
}
