package ledger

import (
	"time"

	"github.com/guavarill/guavarill/port"
)

// inbox is the state of listing the inbox. next is the time of the next listing
// without a notice.
type inbox struct {
	next time.Time
	// listing is set while a ListInbox is in flight. again is set if a notice
	// arrived in the meantime: the result may not contain the announced item.
	listing bool
	again   bool
}

func (l *Ledger) inboxNotice() []Command {
	if l.phase != Active && l.phase != Resolving {
		return nil
	}
	if l.inbox.listing {
		l.inbox.again = true
		return nil
	}
	return l.listInbox()
}

// pollInbox lists the inbox every InboxInterval. Notices can be lost, and a task
// whose notice was lost would otherwise wait until the next owner loads the
// shard.
func (l *Ledger) pollInbox(now time.Time) []Command {
	if l.inbox.listing || now.Before(l.inbox.next) {
		return nil
	}
	l.inbox.next = now.Add(l.options.InboxInterval)
	return l.listInbox()
}

func (l *Ledger) listInbox() []Command {
	l.inbox.listing = true
	return []Command{ListInbox{Prefix: l.prefix + inboxName}}
}

func (l *Ledger) inboxListed(now time.Time, ev InboxListed) []Command {
	if l.phase != Active && l.phase != Resolving {
		return nil
	}
	again := l.inbox.again || ev.Err != nil
	l.inbox.listing = false
	l.inbox.again = false
	if again {
		l.inbox.next = now.Add(l.options.RetryMax)
	}
	items, unreadable := l.newItems(ev.KVs)
	commands := dropUnreadable(unreadable)
	commands = append(commands, l.accept(receives(items))...)
	return append(commands, l.flush(now)...)
}

// newItems returns the listed items that are not already being received, and the
// keys of those that cannot be decoded.
func (l *Ledger) newItems(kvs []port.KeyValue) (items []InboxItem, unreadable []string) {
	waiting := make(map[string]int64)
	if l.inFlight != nil {
		addReceiving(waiting, l.inFlight.batch.entries)
	}
	addReceiving(waiting, l.queue)
	for _, kv := range kvs {
		if waiting[kv.Key] == kv.ModRevision {
			continue
		}
		item, ok := decodeInbox(kv)
		if !ok {
			unreadable = append(unreadable, kv.Key)
			continue
		}
		items = append(items, item)
	}
	return items, unreadable
}

func addReceiving(waiting map[string]int64, entries []entry) {
	for i := range entries {
		if item := entries[i].change.Receive; item != nil {
			waiting[item.Key] = item.ModRevision
		}
	}
}

func receives(items []InboxItem) []Change {
	changes := make([]Change, len(items))
	for i := range items {
		changes[i] = Change{Receive: &items[i]}
	}
	return changes
}

func dropUnreadable(keys []string) []Command {
	changes := make([]Change, len(keys))
	for i, key := range keys {
		changes[i] = Change{Receive: &InboxItem{Key: key}}
	}
	return dropped(changes, DropMalformed)
}
