package replicator

import "cmp"

// Version is a position in the history of the store. The zero value precedes all others.
type Version struct {
	// Era counts the times that the store has come back from an older copy of itself; 0 if the store doesn't tell.
	// The store then gives revisions out again, so revisions of different eras can't be compared.
	Era uint64
	// Revision is the store's revision in Era.
	Revision uint64
}

// Compare orders versions by era, then by revision.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Revision, o.Revision))
}

// Before reports whether v precedes o.
func (v Version) Before(o Version) bool {
	return v.Compare(o) < 0
}

// After reports whether v follows o.
func (v Version) After(o Version) bool {
	return v.Compare(o) > 0
}
