package flow

// line is the waiting requests of one workspace, earliest deadline first.
type line struct {
	workspace string
	share     int
	deficit   int
	items     heap
}

// fair is deficit round robin over workspaces; each request costs one.
type fair struct {
	lines  map[string]*line
	active []*line // with requests, in turn
	turn   int     // index into active
	count  int
}

func newFair() *fair { return &fair{lines: map[string]*line{}} }

func (f *fair) add(it *item) {
	l := f.lines[it.Workspace]
	if l == nil {
		l = &line{workspace: it.Workspace, items: heap{kind: byOrder}}
		f.lines[it.Workspace] = l
		f.active = append(f.active, l)
	}
	l.share = max(it.Share, 1)
	l.items.push(it)
	f.count++
}

func (f *fair) remove(it *item) {
	l := f.lines[it.Workspace]
	l.items.remove(it)
	f.count--
	if l.items.len() == 0 {
		f.drop(l)
	}
}

// drop forgets an empty line with its deficit.
func (f *fair) drop(l *line) {
	delete(f.lines, l.workspace)
	for i, other := range f.active {
		if other != l {
			continue
		}
		f.active = append(f.active[:i], f.active[i+1:]...)
		if i < f.turn {
			f.turn--
		}
		return
	}
}

// take removes the request whose turn it is and charges its workspace; nil
// if there is none.
func (f *fair) take() *item {
	if f.count == 0 {
		return nil
	}
	l := f.current()
	it := l.items.head()
	if l.deficit == 0 {
		l.deficit = l.share
	}
	l.deficit--
	if l.deficit == 0 {
		f.turn++
	}
	f.remove(it)
	return it
}

func (f *fair) current() *line {
	if f.turn >= len(f.active) {
		f.turn = 0
	}
	return f.active[f.turn]
}

// victim returns the latest request of the workspace with the most waiting
// requests for its share; nil if there is none.
func (f *fair) victim() *item {
	var heaviest *line
	for _, l := range f.active {
		if heaviest == nil || l.items.len()*heaviest.share > heaviest.items.len()*l.share {
			heaviest = l
		}
	}
	if heaviest == nil {
		return nil
	}
	return heaviest.items.last()
}
