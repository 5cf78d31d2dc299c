package fleet

import (
	"net"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/share"
)

// shareInterval is the time between two reports of the work of workspaces, and between two
// answers with their shares.
const shareInterval = time.Second

// maxRowsPerClass limits the workspaces of a class in one message.
const maxRowsPerClass = 2048

// ClassShares are the classes that are refused work, and the workspaces that take more than their
// share of it.
type ClassShares struct {
	Pressed  []share.Class
	Excesses []share.Excess
}

// shareKeeper divides the service of classes among workspaces on a control host. The Server's
// lock guards it.
type shareKeeper struct {
	table  *share.Table
	sentAt map[string]time.Time // last shares, by name of the entry, and last uses, by IP address of the control host
}

func newShareKeeper() *shareKeeper {
	return &shareKeeper{table: share.NewTable(), sentAt: map[string]time.Time{}}
}

// exchange stores the report of an entry, if there is one, and returns the shares for it if some
// are due. An entry that is sent none keeps the last ones for a while.
func (k *shareKeeper) exchange(now time.Time, entry string, uses []*pb.ClassUse) []*pb.ClassShares {
	if len(uses) > 0 {
		k.table.SetEntry(now, entry, classUsesFromProto(uses).Rows)
	}
	pressed := k.table.Pressed(now)
	if len(pressed) == 0 || !k.isDue(now, entry) {
		return nil
	}
	return classSharesToProto(ClassShares{Pressed: pressed, Excesses: k.table.Excesses(now)})
}

// usesForPeer returns the work at the entries of this host for another control host, if there is
// any and it is due.
func (k *shareKeeper) usesForPeer(now time.Time, address string) []*pb.ClassUse {
	uses := classUsesToProto(k.table.OwnReport(now))
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address // only names the recipient
	}
	if len(uses) == 0 || !k.isDue(now, host) {
		return nil
	}
	return uses
}

// isDue reports whether the last message to a recipient is long enough ago, and if so records one.
func (k *shareKeeper) isDue(now time.Time, recipient string) bool {
	if now.Sub(k.sentAt[recipient]) < shareInterval {
		return false
	}
	if len(k.sentAt) >= maxShareRecipients {
		clear(k.sentAt)
	}
	k.sentAt[recipient] = now
	return true
}

// maxShareRecipients limits the recipients whose last messages are remembered.
const maxShareRecipients = 1024

func classUsesToProto(r share.Report) []*pb.ClassUse {
	var out []*pb.ClassUse
	byClass := map[share.Class]*pb.ClassUse{}
	find := func(c share.Class) *pb.ClassUse {
		if byClass[c] == nil {
			byClass[c] = &pb.ClassUse{Service: c.Service, Rank: int32(c.Rank)}
			out = append(out, byClass[c])
		}
		return byClass[c]
	}
	for _, row := range r.Rows {
		u := find(row.Class)
		u.Workspaces, u.Offered, u.Refused = append(u.Workspaces, uint32(row.Workspace)), append(u.Offered, float32(row.Offered)), append(u.Refused, float32(row.Refused))
		if row.Weight > 0 || len(u.Weights) > 0 {
			u.Weights = append(append(u.Weights, make([]float32, len(u.Workspaces)-1-len(u.Weights))...), float32(row.Weight))
		}
	}
	for _, rest := range r.Rest {
		u := find(rest.Class)
		u.RestWorkspaces, u.RestOffered, u.RestRefused = uint32(rest.Workspaces), float32(rest.Offered), float32(rest.Refused)
	}
	return out
}

// classUsesFromProto ignores workspaces without figures, and figures that are no amounts of work.
func classUsesFromProto(uses []*pb.ClassUse) share.Report {
	var r share.Report
	for _, u := range uses {
		c := share.Class{Service: u.Service, Rank: int(u.Rank)}
		for i, workspace := range u.Workspaces[:min(len(u.Workspaces), maxRowsPerClass)] {
			if i >= len(u.Offered) || i >= len(u.Refused) || !(u.Offered[i] >= 0 && u.Refused[i] >= 0) {
				continue
			}
			row := share.Row{Class: c, Workspace: share.WorkspaceKey(workspace), Offered: float64(u.Offered[i]), Refused: float64(u.Refused[i])}
			if i < len(u.Weights) {
				row.Weight = float64(u.Weights[i])
			}
			r.Rows = append(r.Rows, row)
		}
		if u.RestWorkspaces > 0 && u.RestOffered >= 0 && u.RestRefused >= 0 {
			r.Rest = append(r.Rest, share.Rest{Class: c, Workspaces: int(min(u.RestWorkspaces, maxRowsPerClass)), Offered: float64(u.RestOffered), Refused: float64(u.RestRefused)})
		}
	}
	return r
}

func classSharesToProto(s ClassShares) []*pb.ClassShares {
	var out []*pb.ClassShares
	byClass := map[share.Class]*pb.ClassShares{}
	for _, c := range s.Pressed {
		byClass[c] = &pb.ClassShares{Service: c.Service, Rank: int32(c.Rank)}
		out = append(out, byClass[c])
	}
	for _, e := range s.Excesses {
		if p := byClass[e.Class]; p != nil {
			p.Workspaces, p.Within = append(p.Workspaces, uint32(e.Workspace)), append(p.Within, float32(e.Within))
		}
	}
	return out
}

// classSharesFromProto ignores workspaces without a fraction.
func classSharesFromProto(classes []*pb.ClassShares) ClassShares {
	var s ClassShares
	for _, p := range classes {
		c := share.Class{Service: p.Service, Rank: int(p.Rank)}
		s.Pressed = append(s.Pressed, c)
		for i, workspace := range p.Workspaces {
			if i < len(p.Within) && p.Within[i] >= 0 {
				s.Excesses = append(s.Excesses, share.Excess{Class: c, Workspace: share.WorkspaceKey(workspace), Within: float64(p.Within[i])})
			}
		}
	}
	return s
}
