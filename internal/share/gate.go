package share

import "time"

// gateTTL is how long the shares that a control host has sent hold.
const gateTTL = 2 * time.Second

// Gate tells which requests of an entry are within the shares of their workspaces.
type Gate struct {
	within     map[useKey]float64
	credits    map[useKey]float64 // requests that may still come within the share
	receivedAt time.Time
}

// NewGate returns a gate at which all requests are within their shares.
func NewGate() *Gate { return &Gate{credits: map[useKey]float64{}} }

// Set replaces the workspaces that are over their shares.
func (g *Gate) Set(now time.Time, excesses []Excess) {
	credits := map[useKey]float64{}
	g.within, g.receivedAt = make(map[useKey]float64, len(excesses)), now
	for _, e := range excesses {
		key := useKey{class: e.Class, workspace: e.Workspace}
		g.within[key], credits[key] = e.Within, g.credits[key]
	}
	g.credits = credits
}

// IsFresh reports whether shares were received of late.
func (g *Gate) IsFresh(now time.Time) bool { return now.Sub(g.receivedAt) <= gateTTL }

// Take reports whether a new request of a workspace is within its share. Of the requests of a
// workspace that is over it, the fraction that is within the share is spread evenly.
func (g *Gate) Take(now time.Time, c Class, w WorkspaceKey) bool {
	key := useKey{class: c, workspace: w}
	within, over := g.within[key]
	if !over || !g.IsFresh(now) {
		return true
	}
	g.credits[key] += within
	if g.credits[key] < 1 {
		return false
	}
	g.credits[key]--
	return true
}
