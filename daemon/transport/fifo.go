package transport

// minCompactHead is the number of free slots at the front up to which pop doesn't compact the
// queue.
const minCompactHead = 64

// fifo is an unbounded queue. Its zero value is empty.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) push(item T) { f.items = append(f.items, item) }

// first returns the oldest item. The queue must not be empty.
func (f *fifo[T]) first() T { return f.items[f.head] }

// pop removes and returns the oldest item. The queue must not be empty.
func (f *fifo[T]) pop() T {
	var none T
	item := f.items[f.head]
	f.items[f.head] = none
	f.head++
	switch {
	case f.head == len(f.items):
		f.items, f.head = f.items[:0], 0
	case f.head > len(f.items)/2 && f.head > minCompactHead:
		count := copy(f.items, f.items[f.head:])
		clear(f.items[count:])
		f.items, f.head = f.items[:count], 0
	}
	return item
}
