package register

// backgroundTask runs one step at a time beside the goroutine that uses it, which asks now and then whether the step has ended.
type backgroundTask struct {
	running chan struct{} // closed when the step ends; nil: none runs
}

// busy reports whether a step still runs.
func (b *backgroundTask) busy() bool {
	if b.running == nil {
		return false
	}
	select {
	case <-b.running:
		b.running = nil
		return false
	default:
		return true
	}
}

// start runs a step. None may run.
func (b *backgroundTask) start(step func()) {
	running := make(chan struct{})
	b.running = running
	go func() {
		defer close(running)
		step()
	}()
}
