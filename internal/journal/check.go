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

// checksumTable is Castagnoli's polynomial.
var checksumTable = crc32.MakeTable(crc32.Castagnoli)

const checksumBytes = 4

// seal puts a checksum of key and value in front of the value.
func seal(key, value []byte) []byte {
	sum := crc32.Update(crc32.Checksum(key, checksumTable), checksumTable, value)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, checksumBytes+len(value)), sum), value...)
}

// unseal checks a sealed value and counts its bytes. The result is a copy.
func (j *Journal) unseal(sealed, key []byte, part string) ([]byte, error) {
	if len(sealed) < checksumBytes {
		return nil, &CorruptError{Path: j.path, Part: part, Cause: &checksumError{}}
	}
	value := append([]byte(nil), sealed[checksumBytes:]...)
	sum := crc32.Update(crc32.Checksum(key, checksumTable), checksumTable, value)
	if sum != binary.BigEndian.Uint32(sealed) {
		return nil, &CorruptError{Path: j.path, Part: part, Cause: &checksumError{}}
	}
	return value, nil
}

// open checks and decodes a sealed message.
func (j *Journal) open(sealed, key []byte, part string, m proto.Message) error {
	value, err := j.unseal(sealed, key, part)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(value, m); err != nil {
		return &CorruptError{Path: j.path, Part: part, Cause: err}
	}
	return nil
}

// verify reads every record of an existing file, without writing to it, and
// returns what it holds and the bytes of its records. Pages that are not what
// they should be fault or panic in here, where that is caught.
func verify(path string) (stored consensus.Stored, read int64, err error) {
	if _, err := os.Stat(path); os.IsNotExist(err) {
		return stored, 0, nil
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if err != nil {
		return stored, 0, &FileError{Path: path, Cause: err}
	}
	defer func() {
		if v := recover(); v != nil {
			err = &CorruptError{Path: path, Part: "pages", Cause: &faultError{Value: v}}
		}
		err = errors.CombineErrors(err, db.Close())
	}()
	j := &Journal{db: db, path: path}
	stored, err = j.load()
	return stored, j.read, err
}

// load reads and checks every record.
func (j *Journal) load() (stored consensus.Stored, err error) {
	tx, err := j.db.Begin(false)
	if err != nil {
		return stored, j.fileError(err)
	}
	defer func() { err = errors.CombineErrors(err, tx.Rollback()) }()
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if meta == nil || log == nil {
		return stored, nil // nothing was written yet
	}
	if stored.Hard, err = j.loadVote(meta); err != nil {
		return stored, err
	}
	if stored.Snapshot, err = j.loadSnapshot(meta); err != nil {
		return stored, err
	}
	j.read += int64(len(stored.Snapshot.Data))
	if stored.Entries, err = j.loadEntries(log); err != nil {
		return stored, j.fileError(err)
	}
	return stored, j.checkTail(meta, stored)
}

// loadVote reads term and vote.
func (j *Journal) loadVote(meta *bbolt.Bucket) (consensus.HardState, error) {
	value := meta.Get(voteKey)
	if value == nil {
		return consensus.HardState{}, nil
	}
	var p pb.DurableVote
	err := j.open(value, voteKey, "term and vote", &p)
	return consensus.HardState{Term: p.Term, Vote: p.Vote, Formation: p.Formation}, err
}

// loadSnapshot reads the newest snapshot.
func (j *Journal) loadSnapshot(meta *bbolt.Bucket) (consensus.Snapshot, error) {
	sealed := meta.Get(snapshotKey)
	if sealed == nil {
		return consensus.Snapshot{}, nil
	}
	value, err := j.unseal(sealed, snapshotKey, "snapshot")
	if err != nil {
		return consensus.Snapshot{}, err
	}
	s, err := consensus.DecodeSnapshot(value)
	if err != nil {
		return consensus.Snapshot{}, &CorruptError{Path: j.path, Part: "snapshot", Cause: err}
	}
	return s, nil
}

// loadEntries reads the log in order.
func (j *Journal) loadEntries(log *bbolt.Bucket) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	err := log.ForEach(func(key, sealed []byte) error {
		part := "entry"
		if len(key) == 8 {
			part = "entry " + strconv.FormatUint(binary.BigEndian.Uint64(key), 10)
		}
		value, err := j.unseal(sealed, key, part)
		if err != nil {
			return err
		}
		e, err := consensus.DecodeEntry(value)
		if err != nil {
			return &CorruptError{Path: j.path, Part: part, Cause: err}
		}
		j.read += int64(len(sealed))
		entries = append(entries, e)
		return nil
	})
	return entries, err
}

// checkTail compares the end of the log with the recorded one.
func (j *Journal) checkTail(meta *bbolt.Bucket, stored consensus.Stored) error {
	want := pb.LogEntry{}
	if value := meta.Get(tailKey); value != nil {
		if err := j.open(value, tailKey, "tail", &want); err != nil {
			return err
		}
	}
	index, term := stored.Snapshot.Index, stored.Snapshot.Term
	if n := len(stored.Entries); n > 0 {
		index, term = stored.Entries[n-1].Index, stored.Entries[n-1].Term
	}
	if want.Index > index || (want.Index == index && want.Term != term) {
		return &CorruptError{Path: j.path, Part: "end of the log", Cause: &consensus.CorruptLogError{
			Index: want.Index, Reason: "it was synced and is missing"}}
	}
	return nil
}

// fileError passes typed errors on and wraps the rest.
func (j *Journal) fileError(err error) error {
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

// Layout of the two meta pages of a bbolt file.
const (
	metaMagic       = 0xED0CDAED
	pageHeaderBytes = 16
	metaBytes       = 64
	metaSumOffset   = 56
	highWaterOffset = 40
	pageSizeOffset  = 8
	maxPageSize     = 64 << 10
)

// checkHead checks both meta pages and the length of an existing file. bbolt
// would fall back to the older meta page, which may lack synced writes.
func checkHead(path string) error {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	pageSize, needed, err := readMeta(file, 0)
	if err != nil {
		return &CorruptError{Path: path, Part: "first meta page", Cause: err}
	}
	_, second, err := readMeta(file, pageSize)
	if err != nil {
		return &CorruptError{Path: path, Part: "second meta page", Cause: err}
	}
	if needed = max(needed, second); info.Size() < needed {
		return &CorruptError{Path: path, Part: "end of the file",
			Cause: &truncatedError{Size: info.Size(), Needed: needed}}
	}
	return nil
}

// readMeta reads one meta page and returns the page size and the length that
// the file must have, in bytes.
func readMeta(file io.ReaderAt, offset int64) (pageSize, needed int64, err error) {
	var page [pageHeaderBytes + metaBytes]byte
	if _, err := file.ReadAt(page[:], offset); err != nil {
		return 0, 0, err
	}
	meta := page[pageHeaderBytes:]
	sum := fnv.New64a()
	_, _ = sum.Write(meta[:metaSumOffset])
	magic := binary.NativeEndian.Uint32(meta)
	stored := binary.NativeEndian.Uint64(meta[metaSumOffset:])
	pageSize = int64(binary.NativeEndian.Uint32(meta[pageSizeOffset:]))
	if magic != metaMagic || stored != sum.Sum64() || pageSize > maxPageSize {
		return 0, 0, &checksumError{}
	}
	return pageSize, pageSize * int64(binary.NativeEndian.Uint64(meta[highWaterOffset:])), nil
}
