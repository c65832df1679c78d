package admission

import "container/heap"

// waiter is a queued ticket, linked within its class and, when it has a
// deadline, in the expiry heap.
type waiter struct {
	ticket       Ticket
	older, newer *waiter
	heapIndex    int
}

// notInHeap is the heap index of a waiter without a deadline.
const notInHeap = -1

// class is the tickets of one priority, linked from the oldest to the newest.
type class struct {
	oldest, newest *waiter
	count          int
	// passedOver counts the slots given to higher priorities since this
	// priority last received one or was empty.
	passedOver int
}

func (c *class) pushNewest(w *waiter) {
	w.older = c.newest
	if c.newest != nil {
		c.newest.newer = w
	} else {
		c.oldest = w
	}
	c.newest = w
	c.count++
}

func (c *class) pushOldest(w *waiter) {
	w.newer = c.oldest
	if c.oldest != nil {
		c.oldest.older = w
	} else {
		c.newest = w
	}
	c.oldest = w
	c.count++
}

func (c *class) remove(w *waiter) {
	if w.older != nil {
		w.older.newer = w.newer
	} else {
		c.oldest = w.newer
	}
	if w.newer != nil {
		w.newer.older = w.older
	} else {
		c.newest = w.older
	}
	w.older, w.newer = nil, nil
	c.count--
	if c.count == 0 {
		c.passedOver = 0
	}
}

// insert creates the waiter of t and indexes it by ID and deadline. The caller
// links it into its class.
func (q *Queue) insert(t Ticket) *waiter {
	w := &waiter{ticket: t, heapIndex: notInHeap}
	q.waiting[t.ID] = w
	if !t.Deadline.IsZero() {
		heap.Push(&q.expiry, w)
	}
	return w
}

func (q *Queue) remove(w *waiter) {
	delete(q.waiting, w.ticket.ID)
	q.classes[w.ticket.Priority].remove(w)
	if w.heapIndex != notInHeap {
		heap.Remove(&q.expiry, w.heapIndex)
	}
}

// expiryHeap orders waiters by deadline, then ID.
type expiryHeap []*waiter

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i].ticket, h[j].ticket
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.heapIndex = notInHeap
	return w
}
