// Package departures keeps the departures of endpoints in a file of a host's data folder. A write returns after it is
// synced. Each record has a checksum; a record that was cut by the end of the process is left out.
package departures

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/journal"
)

// FileName is the name of the file in the data folder.
const FileName = "departures.log"

const (
	// minRewriteBytes is the length up to which a file is not rewritten to remove outdated records.
	minRewriteBytes = 64 << 10
	// maxReadBytes limits what is read of a file: one that is longer was not written by this package.
	maxReadBytes  = 32 << 20
	fileMode      = 0o600
	newFileSuffix = ".new"
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// File is an open file of departures, the newest one of each endpoint. It is not safe for concurrent use.
type File struct {
	path   string
	isLive func(id string) bool
	file   *os.File
	// lines are the records that the file holds, by ID of the endpoint.
	lines     map[string][]byte
	complete  bool
	sizeBytes int64
	// rewriteBytes is the length from which the file is rewritten: twice that after the last time.
	rewriteBytes int64
	rewriteDue   bool // the file has records that are cut, or may have
}

// Content is what a file held when it was opened.
type Content struct {
	Departures []*pb.StoredDeparture
	// Complete reports whether the file has all departures that the host held.
	Complete bool
	// UnreadableRecords counts records that could not be read, without one that the end of the process has cut.
	UnreadableRecords int
}

// Open opens the file in a data folder, or creates an empty one. Records of endpoints for which isLive is false may be
// removed. Errors are *journal.FileError.
func Open(dir string, isLive func(id string) bool) (*File, Content, error) {
	path := filepath.Join(dir, FileName)
	if err := journal.CreateFolder(dir); err != nil {
		return nil, Content{}, err
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return nil, Content{}, errors.WithStack(&journal.FileError{Path: path, Cause: err})
	}
	f := &File{path: path, isLive: isLive, file: file, lines: map[string][]byte{}, rewriteBytes: minRewriteBytes}
	content, err := f.read()
	if err == nil {
		err = journal.SyncFolder(dir)
	}
	if err != nil {
		_ = file.Close()
		return nil, Content{}, err
	}
	return f, content, nil
}

// read reads the records. A last line without an end, or with a wrong checksum, was cut.
func (f *File) read() (Content, error) {
	raw, err := io.ReadAll(io.LimitReader(f.file, maxReadBytes+1))
	if err != nil {
		return Content{}, f.wrapError(err)
	}
	content := Content{}
	f.sizeBytes = int64(len(raw))
	if len(raw) > maxReadBytes {
		raw, content.UnreadableRecords, f.rewriteDue = raw[:maxReadBytes], 1, true
	}
	for len(raw) > 0 {
		line, rest, ended := bytes.Cut(raw, []byte("\n"))
		record, err := decode(line)
		raw = rest
		if err != nil || !ended {
			f.rewriteDue = true
			if len(rest) > 0 {
				content.UnreadableRecords++
			}
			continue
		}
		if record.Departure == nil {
			f.complete = true
			continue
		}
		f.lines[record.Departure.Id] = append(bytes.Clone(line), '\n')
		content.Departures = append(content.Departures, record)
	}
	f.complete = f.complete && content.UnreadableRecords == 0
	content.Complete = f.complete
	return content, nil
}

// Append writes departures, and that the file is complete if that is so, and syncs the file. After an error the file may hold
// them or not. Errors are *journal.FileError.
func (f *File) Append(departures []*pb.StoredDeparture, complete bool) error {
	var added []byte
	for _, d := range departures {
		line, err := encode(d)
		if err != nil {
			return f.wrapError(err)
		}
		f.lines[d.Departure.Id] = line
		added = append(added, line...)
	}
	if complete && !f.complete {
		f.complete = true
		added = append(added, completeLine...)
	}
	isLong := f.sizeBytes+int64(len(added)) > f.rewriteBytes
	if f.rewriteDue || isLong && len(added) > 0 {
		return f.rewrite()
	}
	if len(added) == 0 {
		return nil
	}
	if _, err := f.file.Write(added); err != nil {
		f.rewriteDue = true
		_ = f.file.Truncate(f.sizeBytes) // releases the room on a full disk; the rewrite that follows needs no success
		return f.wrapError(err)
	}
	if err := f.file.Sync(); err != nil {
		f.rewriteDue = true // what the file holds is not known
		return f.wrapError(err)
	}
	f.sizeBytes += int64(len(added))
	return nil
}

// rewrite replaces the file by one with the live departures.
func (f *File) rewrite() error {
	f.rewriteDue = true // until it has succeeded
	var content []byte
	for id, line := range f.lines {
		if !f.isLive(id) {
			delete(f.lines, id)
			continue
		}
		content = append(content, line...)
	}
	if f.complete {
		content = append(content, completeLine...)
	}
	replacement, err := f.writeNew(content)
	if err != nil {
		_ = os.Remove(f.path + newFileSuffix)
		return f.wrapError(err)
	}
	_ = f.file.Close() // replaced, and everything that was acknowledged is in the new one
	f.file, f.sizeBytes = replacement, int64(len(content))
	f.rewriteBytes = max(minRewriteBytes, 2*f.sizeBytes)
	if err := journal.SyncFolder(filepath.Dir(f.path)); err != nil {
		return err
	}
	f.rewriteDue = false
	return nil
}

// writeNew writes and syncs a file under another name, and gives it the name of the file.
func (f *File) writeNew(content []byte) (*os.File, error) {
	replacement, err := os.OpenFile(f.path+newFileSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	_, err = replacement.Write(content)
	if err == nil {
		err = replacement.Sync()
	}
	if err == nil {
		err = os.Rename(f.path+newFileSuffix, f.path)
	}
	if err != nil {
		_ = replacement.Close()
		return nil, err
	}
	return replacement, nil
}

// Close closes the file.
func (f *File) Close() error { return f.wrapError(f.file.Close()) }

func (f *File) wrapError(err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&journal.FileError{Path: f.path, Cause: err})
}

// completeLine is the record that says that the file is complete.
var completeLine = mustEncode(&pb.StoredDeparture{})

// encode returns the line of a record: its checksum and its content.
func encode(record *pb.StoredDeparture) ([]byte, error) {
	content, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.Checksum(content, checksums), base64.StdEncoding.EncodeToString(content)), nil
}

func mustEncode(record *pb.StoredDeparture) []byte {
	line, err := encode(record)
	if err != nil {
		panic(err) // a constant
	}
	return line
}

// recordError reports a line that is no record.
type recordError struct {
	reason string
}

func (e *recordError) Error() string { return "not a record of a departure: " + e.reason }

// decode returns the record of a line without its end.
func decode(line []byte) (*pb.StoredDeparture, error) {
	checksum, encoded, found := bytes.Cut(line, []byte(" "))
	if !found {
		return nil, &recordError{reason: "no checksum"}
	}
	content, err := base64.StdEncoding.DecodeString(string(encoded))
	if err != nil {
		return nil, &recordError{reason: err.Error()}
	}
	if fmt.Sprintf("%08x", crc32.Checksum(content, checksums)) != string(checksum) {
		return nil, &recordError{reason: "wrong checksum"}
	}
	record := &pb.StoredDeparture{}
	if err := proto.Unmarshal(content, record); err != nil {
		return nil, &recordError{reason: err.Error()}
	}
	return record, nil
}
