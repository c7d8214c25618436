package share

import "container/heap"

// Turns orders items of several accounts by dominant resource fairness: the next item is the
// first one of the account whose dominant share, divided by its weight, is the smallest. The
// dominant share is the largest share that the account has running of any kind of resource.
// Between two accounts with items left that fit and that their caps allow, the weighted shares differ by no more than what one
// of them had running before, or than what it starts in one turn.
type Turns[T any] struct{ queues turnHeap[T] }

// NewTurns returns the turns of the items, which keep their order within an account.
func NewTurns[T any](l *Ledger, items []T, account func(T) *Account) *Turns[T] {
	byAccount := map[*Account]*turnQueue[T]{}
	t := &Turns[T]{}
	for _, item := range items {
		a := account(item)
		q := byAccount[a]
		if q == nil {
			q = &turnQueue[T]{ledger: l, account: a, position: len(t.queues)}
			q.update()
			byAccount[a] = q
			t.queues = append(t.queues, q)
		}
		q.items = append(q.items, item)
	}
	heap.Init(&t.queues)
	return t
}

// Next returns the item whose turn it is; false if there is none left.
func (t *Turns[T]) Next() (item T, ok bool) {
	if len(t.queues) == 0 {
		return item, false
	}
	return t.queues[0].items[0], true
}

// End ends the turn of the item that Next returned. The item gets further turns unless it is
// complete.
func (t *Turns[T]) End(complete bool) {
	q := t.queues[0]
	if complete {
		q.items = q.items[1:]
	}
	if len(q.items) == 0 {
		heap.Pop(&t.queues)
		return
	}
	q.update()
	heap.Fix(&t.queues, 0)
}

// turnQueue holds the items of one account.
type turnQueue[T any] struct {
	ledger   *Ledger
	account  *Account
	items    []T
	share    float64 // weighted dominant share
	position int     // decides between equal shares
}

func (q *turnQueue[T]) update() { q.share = q.ledger.WeightedShare(q.account) }

type turnHeap[T any] []*turnQueue[T]

func (h turnHeap[T]) Len() int { return len(h) }
func (h turnHeap[T]) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].position < h[j].position
}
func (h turnHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *turnHeap[T]) Push(x any)   { *h = append(*h, x.(*turnQueue[T])) }
func (h *turnHeap[T]) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
