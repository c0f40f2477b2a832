package kwstatemachine

import (
	"cmp"
	"slices"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Owner is the ownership of a workspace's writes: Site may run them, and NextSite is set while they move there.
// Version is the version of the last change.
type Owner struct {
	Workspace kwid.WorkspaceName `cbor:"1,keyasint" json:"workspace"`
	Site      kwid.Site          `cbor:"2,keyasint" json:"site"`
	NextSite  kwid.Site          `cbor:"3,keyasint,omitempty" json:"next,omitempty"`
	Version   uint64             `cbor:"4,keyasint" json:"version"`
}

// owners holds the ownership of workspaces. A workspace without a row may write at any site.
type owners struct {
	version uint64
	rows    map[kwid.WorkspaceName]*Owner
}

func newOwners() *owners {
	return &owners{rows: make(map[kwid.WorkspaceName]*Owner)}
}

func (o *owners) load(rows []Owner) {
	for _, row := range rows {
		o.version = max(o.version, row.Version)
		o.rows[row.Workspace] = &row
	}
}

// changedSince lists the rows that changed after a version, in version order.
func (o *owners) changedSince(version uint64) []Owner {
	var out []Owner
	for _, row := range o.rows {
		if row.Version > version {
			out = append(out, *row)
		}
	}
	slices.SortFunc(out, func(a, b Owner) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// check returns an error for a grant at a site that does not own the workspace's writes.
func (o *owners) check(w kwid.WorkspaceName, site kwid.Site) *kwcode.Error {
	row, ok := o.rows[w]
	if !ok {
		return nil
	}
	if row.NextSite != "" {
		return kwcode.New(kwcode.WorkspaceMoving, "the writes of %q are moving to %q", w, row.NextSite).WithEndpoint(string(row.NextSite))
	}
	if row.Site != site {
		return kwcode.New(kwcode.WrongSite, "the writes of %q belong to %q", w, row.Site).WithEndpoint(string(row.Site))
	}
	return nil
}

// move starts a move; it completes at once if no attempt of the workspace is open at another site.
func (o *owners) move(m *Move, noneOpenElsewhere bool) Owner {
	row, ok := o.rows[m.Workspace]
	if !ok {
		row = &Owner{Workspace: m.Workspace}
		o.rows[m.Workspace] = row
	}
	o.version++
	row.Version = o.version
	row.NextSite = m.To
	if noneOpenElsewhere {
		o.finish(row)
	}
	return *row
}

// finish completes a move: from now on only the new site gets grants.
func (o *owners) finish(row *Owner) {
	o.version++
	row.Version = o.version
	row.Site = row.NextSite
	row.NextSite = ""
}

// finishMove completes the move of a workspace once no attempt is open at another site.
func (m *Machine) finishMove(w kwid.WorkspaceName) {
	row, ok := m.owners.rows[w]
	if ok && row.NextSite != "" && m.journal.noOpenAttemptsElsewhere(w, row.NextSite) {
		m.owners.finish(row)
	}
}

// noOpenAttemptsElsewhere reports whether no attempt of a workspace is open at a site other than the given one.
func (j *journal) noOpenAttemptsElsewhere(w kwid.WorkspaceName, site kwid.Site) bool {
	for _, row := range j.unsettledInState(RowGranted) {
		if row.Scope.Workspace == w && row.Grant.Site != site {
			return false
		}
	}
	return true
}
