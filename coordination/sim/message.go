package sim

import (
	"time"

	"github.com/rotisserie/eris"
)

// Errors of calls.
var (
	// ErrRefused says that no program runs at the address.
	ErrRefused = eris.New("sim: call refused")
	// ErrTimeout says that no answer came in time.
	ErrTimeout = eris.New("sim: call timed out")
)

// pendingCall is a call whose end has not come.
type pendingCall struct {
	deadline *Timer
	done     func(reply any, err error)
}

// OnMessage sets what the program does with messages.
func (p *Process) OnMessage(take func(from string, message any)) { p.onMessage = take }

// OnCall sets what the program does with calls. It may call answer later, or never.
func (p *Process) OnCall(serve func(from string, request any, answer func(reply any))) {
	p.onCall = serve
}

// Send sends a message, which may be lost, late or doubled. Neither side may change it any more.
func (p *Process) Send(to string, message any) {
	from := p.machine.name
	p.world.network.carry(from, to, func() {
		target := p.world.Machine(to)
		if target == nil || target.process == nil {
			return
		}
		receiver := target.process
		receiver.do(func() {
			if receiver.onMessage != nil {
				receiver.onMessage(from, message)
			}
		})
	})
}

// Call sends a request and has done called once: with the reply, with ErrTimeout, or with ErrRefused.
func (p *Process) Call(to string, request any, timeout time.Duration, done func(reply any, err error)) {
	p.callID++
	id := p.callID
	pending := &pendingCall{done: done}
	pending.deadline = p.After(timeout, func() { p.endCall(id, nil, ErrTimeout) })
	p.calls[id] = pending
	p.world.network.carry(p.machine.name, to, func() { p.arriveCall(to, id, request) })
}

func (p *Process) arriveCall(to string, id uint64, request any) {
	target := p.world.Machine(to)
	if target == nil || target.process == nil {
		p.carryBack(to, id, nil, ErrRefused)
		return
	}
	receiver := target.process
	receiver.do(func() {
		if receiver.onCall == nil {
			p.carryBack(to, id, nil, ErrRefused)
			return
		}
		receiver.onCall(p.machine.name, request, func(reply any) {
			if !receiver.ended {
				p.carryBack(to, id, reply, nil)
			}
		})
	})
}

func (p *Process) carryBack(from string, id uint64, reply any, err error) {
	p.world.network.carry(from, p.machine.name, func() {
		p.do(func() { p.endCall(id, reply, err) })
	})
}

func (p *Process) endCall(id uint64, reply any, err error) {
	pending := p.calls[id]
	if pending == nil {
		return
	}
	delete(p.calls, id)
	pending.deadline.Stop()
	pending.done(reply, err)
}
