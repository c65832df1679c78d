package daemon

import (
	"context"
	"sync"

	"github.com/guavarill/guavarill/port"
)

// event is what the control loop takes.
type event interface {
	// apply lets the event act on the control state.
	apply(c *control)
}

// executor runs calls outside the control loop and brings their results back
// as events.
type executor interface {
	// start runs call and delivers the event that it returns; nil delivers
	// nothing.
	start(call func() event)
	// deliver hands the control loop an event from elsewhere.
	deliver(ev event)
	// follow opens a watch and passes what it reports to take until the watch
	// ends or take returns false. Then it delivers end.
	follow(open openWatch, take func(port.WatchEvent) bool, end event)
}

// openWatch opens a watch of the store.
type openWatch func() (<-chan port.WatchEvent, error)

// mailboxSize bounds the events that wait for the control loop. Whoever
// delivers into a full mailbox waits: results of calls are never dropped.
const mailboxSize = 4096

// goroutines is the executor of a running daemon.
type goroutines struct {
	ctx     context.Context
	mailbox chan event
	pending sync.WaitGroup
}

func newGoroutines(ctx context.Context) *goroutines {
	return &goroutines{ctx: ctx, mailbox: make(chan event, mailboxSize)}
}

func (g *goroutines) start(call func() event) {
	g.pending.Add(1)
	go func() {
		defer g.pending.Done()
		if ev := call(); ev != nil {
			g.deliver(ev)
		}
	}()
}

func (g *goroutines) deliver(ev event) {
	select {
	case g.mailbox <- ev:
	case <-g.ctx.Done():
	}
}

func (g *goroutines) follow(open openWatch, take func(port.WatchEvent) bool, end event) {
	g.start(func() event {
		events, err := open()
		if err != nil {
			return end
		}
		for ev := range events {
			if !take(ev) {
				break
			}
		}
		return end
	})
}
