package fleet

import "sync"

// subscribers are told of records in rising order.
type subscribers struct {
	sync.Mutex
	list []*subscriber
}

type subscriber struct {
	handle    func(Record)
	delivered int64
}

// OnRecord has handle called with the record in force, if there is one, and
// with each later one, in rising order of revisions and one call at a time. A
// record that was superseded before its turn is left out. handle must return
// soon and not call OnRecord.
func (f *Fleet) OnRecord(handle func(Record)) {
	f.subs.Lock()
	f.subs.list = append(f.subs.list, &subscriber{handle: handle})
	f.subs.Unlock()
	f.deliver()
}

// deliver reads the record only once it holds the lock, so that a slow call
// with an older record cannot come after a quick one with a newer.
func (f *Fleet) deliver() {
	f.subs.Lock()
	defer f.subs.Unlock()
	record, ready := f.Latest()
	if !ready || record.Revision == 0 {
		return
	}
	for _, s := range f.subs.list {
		if record.Revision > s.delivered {
			s.delivered = record.Revision
			s.handle(record)
		}
	}
}
