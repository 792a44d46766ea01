package fairness

// notInLane is the heap index of a flow in a lane in which the flow does not wait.
const notInLane = -1

// lane is a binary heap of the flows that wait in one lane, ordered by virtual time. It
// does not use container/heap, because calls through the interface of that package take
// more time than the comparisons.
type lane[T any] struct {
	laneIndex int
	flows     []*Flow[T]
}

func (l *lane[T]) push(f *Flow[T]) {
	l.flows = append(l.flows, f)
	f.heapIndexes[l.laneIndex] = len(l.flows) - 1
	l.siftUp(len(l.flows) - 1)
}

func (l *lane[T]) remove(f *Flow[T]) {
	i := f.heapIndexes[l.laneIndex]
	last := len(l.flows) - 1
	l.swap(i, last)
	l.flows[last] = nil
	l.flows = l.flows[:last]
	f.heapIndexes[l.laneIndex] = notInLane
	if i < last {
		l.fix(l.flows[i])
	}
}

func (l *lane[T]) fix(f *Flow[T]) {
	i := f.heapIndexes[l.laneIndex]
	l.siftDown(i)
	l.siftUp(f.heapIndexes[l.laneIndex])
}

func (l *lane[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if l.flows[parent].virtualTime <= l.flows[i].virtualTime {
			return
		}
		l.swap(i, parent)
		i = parent
	}
}

func (l *lane[T]) siftDown(i int) {
	for {
		child := l.smallerChild(i)
		if child == notInLane || l.flows[i].virtualTime <= l.flows[child].virtualTime {
			return
		}
		l.swap(i, child)
		i = child
	}
}

func (l *lane[T]) smallerChild(i int) int {
	left := 2*i + 1
	if left >= len(l.flows) {
		return notInLane
	}
	right := left + 1
	if right < len(l.flows) && l.flows[right].virtualTime < l.flows[left].virtualTime {
		return right
	}
	return left
}

func (l *lane[T]) swap(i, j int) {
	l.flows[i], l.flows[j] = l.flows[j], l.flows[i]
	l.flows[i].heapIndexes[l.laneIndex] = i
	l.flows[j].heapIndexes[l.laneIndex] = j
}
