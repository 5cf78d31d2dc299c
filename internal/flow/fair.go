package flow

// workspaceQueue holds the waiting requests of one workspace, earliest effective
// deadline first.
type workspaceQueue struct {
	workspace string
	weight    int
	deficit   int // starts left in this round
	items     heap
}

// fairQueue is a deficit round robin over workspaces. Each request costs one.
type fairQueue struct {
	queues      map[string]*workspaceQueue
	active      []*workspaceQueue // in round-robin order; each has at least one request
	activeIndex int               // the workspace that is served next
	count       int
}

func newFairQueue() *fairQueue { return &fairQueue{queues: map[string]*workspaceQueue{}} }

func (f *fairQueue) add(it *item) {
	w := f.queues[it.Workspace]
	if w == nil {
		w = &workspaceQueue{workspace: it.Workspace, items: heap{kind: byEffectiveDeadline}}
		f.queues[it.Workspace] = w
		f.active = append(f.active, w)
	}
	w.weight = max(it.Weight, 1)
	w.items.push(it)
	f.count++
}

func (f *fairQueue) remove(it *item) {
	w := f.queues[it.Workspace]
	w.items.remove(it)
	f.count--
	if w.items.len() == 0 {
		f.removeQueue(w)
	}
}

// removeQueue removes an empty workspace queue and its remaining deficit.
func (f *fairQueue) removeQueue(w *workspaceQueue) {
	delete(f.queues, w.workspace)
	for i, other := range f.active {
		if other != w {
			continue
		}
		f.active = append(f.active[:i], f.active[i+1:]...)
		if i < f.activeIndex {
			f.activeIndex--
		}
		return
	}
}

// pop removes and returns the next request in round-robin order and charges its
// workspace; nil if there is none.
func (f *fairQueue) pop() *item {
	if f.count == 0 {
		return nil
	}
	w := f.currentQueue()
	it := w.items.head()
	if w.deficit == 0 {
		w.deficit = w.weight
	}
	w.deficit--
	if w.deficit == 0 {
		f.activeIndex++
	}
	f.remove(it)
	return it
}

func (f *fairQueue) currentQueue() *workspaceQueue {
	if f.activeIndex >= len(f.active) {
		f.activeIndex = 0
	}
	return f.active[f.activeIndex]
}

// victim returns the request with the latest effective deadline of the workspace
// with the most waiting requests per weight; nil if there is none.
func (f *fairQueue) victim() *item {
	var longest *workspaceQueue
	for _, w := range f.active {
		if longest == nil || w.items.len()*longest.weight > longest.items.len()*w.weight {
			longest = w
		}
	}
	if longest == nil {
		return nil
	}
	return longest.items.greatest()
}
