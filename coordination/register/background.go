package register

// backgroundTask runs one function at a time in a goroutine of its own. Its user polls busy. It is not safe for concurrent use.
type backgroundTask struct {
	running chan struct{} // closed when the function returns; nil if none runs
}

// busy reports whether the function is still running.
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

// start runs the function in a goroutine. It must not be called while busy.
func (b *backgroundTask) start(task func()) {
	running := make(chan struct{})
	b.running = running
	go func() {
		defer close(running)
		task()
	}()
}
