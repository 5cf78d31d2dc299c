package journal

import "fmt"

// CorruptError reports that the journal file is torn or corrupt. The host must not
// use it: once an operator has emptied the data folder, the host rejoins as a
// learner.
type CorruptError struct {
	Path  string
	Part  string // the unreadable part
	Cause error
}

// Error includes the path, the part and the cause.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal %s is corrupt at %s: %v", e.Path, e.Part, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// IdentityError reports that the data folder belongs to another host or cluster.
type IdentityError struct {
	Path        string
	Cluster     string
	HostID      uint64
	WantCluster string
	WantHostID  uint64
}

// Error includes the stored and the expected identity.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("journal %s belongs to host %d of cluster %q, not to host %d of cluster %q",
		e.Path, e.HostID, e.Cluster, e.WantHostID, e.WantCluster)
}

// FileError reports a failed operation on the journal file or its folder.
type FileError struct {
	Path  string
	Cause error
}

// Error includes the path and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("journal %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// checksumError reports a record or page that does not match its checksum, or that
// is missing.
type checksumError struct{}

func (*checksumError) Error() string { return "checksum does not match" }

// truncatedError reports a file that is shorter than its meta pages require.
type truncatedError struct {
	SizeBytes   int64
	NeededBytes int64
}

func (e *truncatedError) Error() string {
	return fmt.Sprintf("file has %d bytes, but %d were synced", e.SizeBytes, e.NeededBytes)
}

// pageFaultError reports a panic or memory fault of bbolt while it read a page.
type pageFaultError struct {
	PanicValue any
}

func (e *pageFaultError) Error() string { return fmt.Sprint(e.PanicValue) }
