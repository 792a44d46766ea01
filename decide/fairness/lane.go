package fairness

// absent is the place of a flow that does not wait in a lane.
const absent = -1

// lane is a binary heap of waiting flows by virtual time. It is written out
// instead of using container/heap because the calls through that interface
// cost more than the comparisons.
type lane[T any] struct {
	index int
	flows []*Flow[T]
}

func (l *lane[T]) push(f *Flow[T]) {
	l.flows = append(l.flows, f)
	f.places[l.index] = len(l.flows) - 1
	l.up(len(l.flows) - 1)
}

func (l *lane[T]) remove(f *Flow[T]) {
	i := f.places[l.index]
	last := len(l.flows) - 1
	l.swap(i, last)
	l.flows[last] = nil
	l.flows = l.flows[:last]
	f.places[l.index] = absent
	if i < last {
		l.fix(l.flows[i])
	}
}

func (l *lane[T]) fix(f *Flow[T]) {
	i := f.places[l.index]
	l.down(i)
	l.up(f.places[l.index])
}

func (l *lane[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if l.flows[parent].virtual <= l.flows[i].virtual {
			return
		}
		l.swap(i, parent)
		i = parent
	}
}

func (l *lane[T]) down(i int) {
	for {
		child := l.lesserChild(i)
		if child == absent || l.flows[i].virtual <= l.flows[child].virtual {
			return
		}
		l.swap(i, child)
		i = child
	}
}

func (l *lane[T]) lesserChild(i int) int {
	left := 2*i + 1
	if left >= len(l.flows) {
		return absent
	}
	right := left + 1
	if right < len(l.flows) && l.flows[right].virtual < l.flows[left].virtual {
		return right
	}
	return left
}

func (l *lane[T]) swap(i, j int) {
	l.flows[i], l.flows[j] = l.flows[j], l.flows[i]
	l.flows[i].places[l.index] = i
	l.flows[j].places[l.index] = j
}
