package journal

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// newFileSuffix ends the name of a journal that is being created.
const newFileSuffix = ".new"

// createIfMissing creates the journal of an empty folder, and the folder. The file gets its name once it is complete
// and synced, so that one that a full disk, a crash or a loss of power has cut short is emptied at the next call.
// The caller syncs the folder.
func createIfMissing(dir, cluster string, id uint64) error {
	path := filepath.Join(dir, FileName)
	if exists, err := fileExists(path); exists || err != nil {
		return err
	}
	if err := CreateFolder(dir); err != nil {
		return err
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return err
	}
	defer lock.Close()
	if exists, err := fileExists(path); exists || err != nil {
		return err // created by another process meanwhile
	}
	newPath := path + newFileSuffix
	if err := os.WriteFile(newPath, nil, fileMode); err != nil {
		return &FileError{Path: newPath, Cause: err}
	}
	j, err := openFile(newPath)
	if err != nil {
		return err
	}
	if err := errors.CombineErrors(j.updateIdentity(cluster, id), j.Close()); err != nil {
		return err
	}
	if err := os.Rename(newPath, path); err != nil {
		return &FileError{Path: path, Cause: err}
	}
	return nil
}

func fileExists(path string) (bool, error) {
	_, err := os.Stat(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, &FileError{Path: path, Cause: err}
	}
	return true, nil
}

// CreateFolder creates a folder and its missing parents, and makes their names durable from the top down: a
// folder is created in one whose name is durable. The name of the lowest folder that exists is synced as well, since
// the process may have died after it had created that.
func CreateFolder(dir string) error {
	parent := filepath.Dir(dir)
	exists, err := fileExists(dir)
	if err != nil {
		return err
	}
	if exists {
		err := SyncFolder(parent)
		if errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EINVAL) {
			return nil // created by another user, or in a file system that can't sync folders
		}
		return err
	}
	if err := CreateFolder(parent); err != nil {
		return err
	}
	if err := os.Mkdir(dir, folderMode); err != nil && !os.IsExist(err) {
		return &FileError{Path: dir, Cause: err}
	}
	return SyncFolder(parent)
}

// lockFolder keeps other processes from creating a journal in the folder until the result is closed, where the file
// system can lock folders.
func lockFolder(dir string) (*os.File, error) {
	folder, err := os.Open(dir)
	if err != nil {
		return nil, &FileError{Path: dir, Cause: err}
	}
	if err := syscall.Flock(int(folder.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); errors.Is(err, syscall.EWOULDBLOCK) {
		_ = folder.Close()
		return nil, &FileError{Path: dir, Cause: err}
	}
	return folder, nil
}

// SyncFolder syncs the folder, so that the names in it are durable.
func SyncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return &FileError{Path: dir, Cause: err}
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return &FileError{Path: dir, Cause: err}
	}
	return nil
}
