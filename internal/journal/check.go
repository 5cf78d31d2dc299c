package journal

import (
	"encoding/binary"
	"hash/crc32"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

const checksumBytes = 4

// withChecksum prepends a checksum of key and value to the value.
func withChecksum(key, value []byte) []byte {
	checksum := crc32.Update(crc32.Checksum(key, castagnoliTable), castagnoliTable, value)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, checksumBytes+len(value)), checksum), value...)
}

// verifyAndStrip verifies the checksum of a stored record and returns a copy of its
// value.
func (j *Journal) verifyAndStrip(record, key []byte, part string) ([]byte, error) {
	if len(record) < checksumBytes {
		return nil, &CorruptError{Path: j.path, Part: part, Cause: &checksumError{}}
	}
	value := append([]byte(nil), record[checksumBytes:]...)
	checksum := crc32.Update(crc32.Checksum(key, castagnoliTable), castagnoliTable, value)
	if checksum != binary.BigEndian.Uint32(record) {
		return nil, &CorruptError{Path: j.path, Part: part, Cause: &checksumError{}}
	}
	return value, nil
}

// decode verifies and decodes a stored message.
func (j *Journal) decode(record, key []byte, part string, m proto.Message) error {
	value, err := j.verifyAndStrip(record, key, part)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(value, m); err != nil {
		return &CorruptError{Path: j.path, Part: part, Cause: err}
	}
	return nil
}

// verifyFile reads and verifies every record of the file without writing to
// it. It returns the stored state and the size of the snapshot and the entries. bbolt
// faults or panics on corrupt pages; verifyFile returns that as a *CorruptError.
func verifyFile(path string) (stored consensus.PersistedState, bytesRead int64, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if err != nil {
		return stored, 0, &FileError{Path: path, Cause: err}
	}
	defer func() {
		if v := recover(); v != nil {
			err = &CorruptError{Path: path, Part: "pages", Cause: &pageFaultError{PanicValue: v}}
		}
		err = errors.CombineErrors(err, db.Close())
	}()
	j := &Journal{db: db, path: path}
	stored, err = j.load()
	return stored, j.bytesRead, err
}

// load reads and verifies every record.
func (j *Journal) load() (stored consensus.PersistedState, err error) {
	tx, err := j.db.Begin(false)
	if err != nil {
		return stored, j.wrapError(err)
	}
	defer func() { err = errors.CombineErrors(err, tx.Rollback()) }()
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if meta == nil || log == nil {
		return stored, nil // a new file
	}
	if stored.HardState, err = j.loadHardState(meta); err != nil {
		return stored, err
	}
	if stored.Snapshot, err = j.loadSnapshot(meta); err != nil {
		return stored, err
	}
	j.bytesRead += int64(len(stored.Snapshot.Data))
	if stored.Entries, err = j.loadEntries(log); err != nil {
		return stored, j.wrapError(err)
	}
	return stored, j.checkLogEnd(meta, stored)
}

// loadHardState reads the term and the vote.
func (j *Journal) loadHardState(meta *bbolt.Bucket) (consensus.HardState, error) {
	value := meta.Get(voteKey)
	if value == nil {
		return consensus.HardState{}, nil
	}
	var p pb.DurableVote
	err := j.decode(value, voteKey, "term and vote", &p)
	return consensus.HardState{Term: p.Term, VotedFor: p.Vote, ClusterID: p.Formation}, err
}

// loadSnapshot reads the newest snapshot. Its index is 0 if there is none.
func (j *Journal) loadSnapshot(meta *bbolt.Bucket) (consensus.Snapshot, error) {
	record := meta.Get(snapshotKey)
	if record == nil {
		return consensus.Snapshot{}, nil
	}
	value, err := j.verifyAndStrip(record, snapshotKey, "snapshot")
	if err != nil {
		return consensus.Snapshot{}, err
	}
	s, err := consensus.DecodeSnapshot(value)
	if err != nil {
		return consensus.Snapshot{}, &CorruptError{Path: j.path, Part: "snapshot", Cause: err}
	}
	return s, nil
}

// loadEntries reads the log entries in the order of their index.
func (j *Journal) loadEntries(log *bbolt.Bucket) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	err := log.ForEach(func(key, record []byte) error {
		part := "entry"
		if len(key) == 8 {
			part = "entry " + strconv.FormatUint(binary.BigEndian.Uint64(key), 10)
		}
		value, err := j.verifyAndStrip(record, key, part)
		if err != nil {
			return err
		}
		e, err := consensus.DecodeEntry(value)
		if err != nil {
			return &CorruptError{Path: j.path, Part: part, Cause: err}
		}
		j.bytesRead += int64(len(record))
		entries = append(entries, e)
		return nil
	})
	return entries, err
}

// checkLogEnd verifies that the log reaches the recorded last entry.
func (j *Journal) checkLogEnd(meta *bbolt.Bucket, stored consensus.PersistedState) error {
	recorded := pb.LogEntry{}
	if value := meta.Get(logEndKey); value != nil {
		if err := j.decode(value, logEndKey, "tail", &recorded); err != nil {
			return err
		}
	}
	index, term := stored.Snapshot.Index, stored.Snapshot.Term
	if n := len(stored.Entries); n > 0 {
		index, term = stored.Entries[n-1].Index, stored.Entries[n-1].Term
	}
	if recorded.Index > index || (recorded.Index == index && recorded.Term != term) {
		return &CorruptError{Path: j.path, Part: "end of the log", Cause: &consensus.CorruptLogError{
			Index: recorded.Index, Reason: "it was synced and is missing"}}
	}
	return nil
}

// wrapError returns a *CorruptError or *IdentityError as it is and wraps any other
// error in a *FileError.
func (j *Journal) wrapError(err error) error {
	if err == nil {
		return nil
	}
	var corrupt *CorruptError
	var identity *IdentityError
	if errors.As(err, &corrupt) || errors.As(err, &identity) {
		return err
	}
	return &FileError{Path: j.path, Cause: err}
}

// Layout of the two meta pages of a bbolt file. The page count is the field that
// bbolt calls the high-water mark.
const (
	metaMagic          = 0xED0CDAED
	pageHeaderBytes    = 16
	metaFieldsBytes    = 64
	metaChecksumOffset = 56
	pageCountOffset    = 40
	pageSizeOffset     = 8
	maxPageSizeBytes   = 64 << 10
)

// checkMetaPages verifies both meta pages and the size of the file. If one
// meta page is corrupt, bbolt would silently use the older one, which may lack
// synced writes.
func checkMetaPages(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	pageSize, neededBytes, err := readMetaPage(file, 0)
	if err != nil {
		return &CorruptError{Path: path, Part: "first meta page", Cause: err}
	}
	_, secondNeededBytes, err := readMetaPage(file, pageSize)
	if err != nil {
		return &CorruptError{Path: path, Part: "second meta page", Cause: err}
	}
	if neededBytes = max(neededBytes, secondNeededBytes); info.Size() < neededBytes {
		return &CorruptError{Path: path, Part: "end of the file",
			Cause: &truncatedError{SizeBytes: info.Size(), NeededBytes: neededBytes}}
	}
	return nil
}

// readMetaPage reads and verifies one meta page. It returns the page size and the
// minimum size of the file, in bytes.
func readMetaPage(file io.ReaderAt, offset int64) (pageSize, neededBytes int64, err error) {
	var page [pageHeaderBytes + metaFieldsBytes]byte
	if _, err := file.ReadAt(page[:], offset); err != nil {
		return 0, 0, err
	}
	meta := page[pageHeaderBytes:]
	checksum := fnv.New64a()
	_, _ = checksum.Write(meta[:metaChecksumOffset])
	magic := binary.NativeEndian.Uint32(meta)
	storedChecksum := binary.NativeEndian.Uint64(meta[metaChecksumOffset:])
	pageSize = int64(binary.NativeEndian.Uint32(meta[pageSizeOffset:]))
	if magic != metaMagic || storedChecksum != checksum.Sum64() || pageSize > maxPageSizeBytes {
		return 0, 0, &checksumError{}
	}
	return pageSize, pageSize * int64(binary.NativeEndian.Uint64(meta[pageCountOffset:])), nil
}
