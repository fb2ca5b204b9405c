package sim

import (
	"time"

	"github.com/rotisserie/eris"
)

// Errors that end a Call.
var (
	// ErrRefused means that no program that serves calls runs on the machine.
	ErrRefused = eris.New("sim: call refused")
	// ErrTimeout means that no reply arrived within the timeout.
	ErrTimeout = eris.New("sim: call timed out")
)

// pendingCall is a call that has neither a reply nor an error yet.
type pendingCall struct {
	deadline *Timer
	done     func(reply any, err error)
}

// OnMessage sets the handler of messages. Without one, messages are dropped.
func (p *Process) OnMessage(handle func(from string, message any)) { p.onMessage = handle }

// OnCall sets the handler of calls. The handler may call answer later, or never. Without a handler, calls are refused.
func (p *Process) OnCall(handle func(from string, request any, answer func(reply any))) {
	p.onCall = handle
}

// Send sends a message, which may be lost, delayed or duplicated. Sender and receiver share it, so neither may modify it.
func (p *Process) Send(to string, message any) {
	from := p.machine.name
	p.world.network.transmit(from, to, func() {
		target := p.world.Machine(to)
		if target == nil || target.process == nil {
			return
		}
		receiver := target.process
		receiver.run(func() {
			if receiver.onMessage != nil {
				receiver.onMessage(from, message)
			}
		})
	})
}

// Call sends a request and calls done at most once: with the reply, with ErrTimeout or with ErrRefused. It never calls done if
// the calling process ends before.
func (p *Process) Call(to string, request any, timeout time.Duration, done func(reply any, err error)) {
	p.callID++
	id := p.callID
	pending := &pendingCall{done: done}
	pending.deadline = p.After(timeout, func() { p.finishCall(id, nil, ErrTimeout) })
	p.calls[id] = pending
	p.world.network.transmit(p.machine.name, to, func() { p.deliverCall(to, id, request) })
}

// deliverCall passes a request to the program of its target, or refuses it if no program serves calls there.
func (p *Process) deliverCall(to string, id uint64, request any) {
	target := p.world.Machine(to)
	if target == nil || target.process == nil {
		p.sendReply(to, id, nil, ErrRefused)
		return
	}
	receiver := target.process
	receiver.run(func() {
		if receiver.onCall == nil {
			p.sendReply(to, id, nil, ErrRefused)
			return
		}
		receiver.onCall(p.machine.name, request, func(reply any) {
			if !receiver.ended {
				p.sendReply(to, id, reply, nil)
			}
		})
	})
}

// sendReply transmits the outcome of a call from its target to the caller.
func (p *Process) sendReply(from string, id uint64, reply any, err error) {
	p.world.network.transmit(from, p.machine.name, func() {
		p.run(func() { p.finishCall(id, reply, err) })
	})
}

// finishCall passes the outcome of a call to its callback. It ignores calls that are finished already.
func (p *Process) finishCall(id uint64, reply any, err error) {
	pending := p.calls[id]
	if pending == nil {
		return
	}
	delete(p.calls, id)
	pending.deadline.Stop()
	pending.done(reply, err)
}
