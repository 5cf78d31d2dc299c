package journal

import "fmt"

// CorruptError says that the file in the data folder is torn or corrupt. The
// host must not go on with it: an operator empties the folder, and the host
// comes back as a learner.
type CorruptError struct {
	Path  string
	Part  string // what can't be read
	Cause error
}

// Error names the file and the part.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal %s is corrupt at %s: %v", e.Path, e.Part, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// IdentityError says that the data folder belongs to another host or cluster.
type IdentityError struct {
	Path        string
	Cluster     string
	ID          uint64
	WantCluster string
	WantID      uint64
}

// Error names both identities.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("journal %s belongs to host %d of cluster %q, not to host %d of cluster %q",
		e.Path, e.ID, e.Cluster, e.WantID, e.WantCluster)
}

// FileError is a failure of the file system.
type FileError struct {
	Path  string
	Cause error
}

// Error names the file.
func (e *FileError) Error() string { return fmt.Sprintf("journal %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// checksumError is a record whose bytes changed.
type checksumError struct{}

func (*checksumError) Error() string { return "checksum does not match" }

// truncatedError is a file that is shorter than it was.
type truncatedError struct {
	Size   int64
	Needed int64
}

func (e *truncatedError) Error() string {
	return fmt.Sprintf("%d bytes where %d were synced", e.Size, e.Needed)
}

// faultError is a page that can't be read as what it should be.
type faultError struct {
	Value any
}

func (e *faultError) Error() string { return fmt.Sprint(e.Value) }
