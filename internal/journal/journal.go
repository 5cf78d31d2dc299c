// Package journal keeps what a replica must not lose in one bbolt file of its
// data folder: the log, term and vote, the newest snapshot and the identity
// of the folder. A call returns once its write is synced. Every record has a
// checksum; a file that is torn or corrupt is named at the start.
package journal

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// FileName is the file in the data folder.
const FileName = "journal.db"

const (
	lockTimeout = time.Second
	initialMap  = 64 << 20 // bytes
	fileMode    = 0o600
	folderMode  = 0o700
)

// Buckets and keys of the file.
var (
	logBucket   = []byte("log")  // big-endian index to entry
	metaBucket  = []byte("meta") // the keys below
	identityKey = []byte("identity")
	voteKey     = []byte("vote")
	tailKey     = []byte("tail") // encoded last entry's index and term
	snapshotKey = []byte("snapshot")
)

// Identity names the data folder. Disk is drawn at random when the folder is
// first used; Run grows with each start.
type Identity struct {
	Cluster string
	ID      uint64
	Disk    uint64
	Run     uint64
}

// Journal is an open data folder. Write and WriteSnapshot must be called by
// one goroutine at a time; ReadSnapshot may run beside them.
type Journal struct {
	db       *bbolt.DB
	path     string
	identity Identity
	read     int64
}

// Open opens the data folder of a host, or begins an empty one, and returns
// what it holds. Errors are *CorruptError, *IdentityError or *FileError.
func Open(dir, cluster string, id uint64) (*Journal, consensus.Stored, error) {
	path := filepath.Join(dir, FileName)
	if err := prepare(dir, path); err != nil {
		return nil, consensus.Stored{}, err
	}
	stored, read, err := verify(path)
	if err != nil {
		return nil, consensus.Stored{}, err
	}
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true,
		FreelistType: bbolt.FreelistMapType, InitialMmapSize: initialMap})
	if err != nil {
		return nil, consensus.Stored{}, &FileError{Path: path, Cause: err}
	}
	j := &Journal{db: db, path: path, read: read}
	if err := errors.CombineErrors(j.identify(cluster, id), syncFolder(dir)); err != nil {
		_ = db.Close()
		return nil, consensus.Stored{}, err
	}
	return j, stored, nil
}

// prepare makes the folder and checks the head of an existing file.
func prepare(dir, path string) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return &FileError{Path: dir, Cause: err}
	}
	return checkHead(path)
}

// syncFolder makes the name of a new file last.
func syncFolder(dir string) error {
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

// identify reads or creates the identity and counts the start.
func (j *Journal) identify(cluster string, id uint64) error {
	err := j.db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		identity, err := j.loadIdentity(meta, cluster, id)
		if err != nil {
			return err
		}
		identity.Run = max(identity.Run+1, uint64(time.Now().UnixMilli()))
		j.identity = identity
		return putProto(meta, identityKey, &pb.DiskIdentity{Cluster: identity.Cluster, Id: identity.ID,
			Disk: identity.Disk, Run: identity.Run})
	})
	return j.fileError(err)
}

// loadIdentity checks the stored identity, or draws one for an empty folder.
func (j *Journal) loadIdentity(meta *bbolt.Bucket, cluster string, id uint64) (Identity, error) {
	value := meta.Get(identityKey)
	if value == nil && meta.Get(voteKey) != nil {
		return Identity{}, &CorruptError{Path: j.path, Part: "identity", Cause: &checksumError{}}
	}
	if value == nil {
		disk, err := drawDisk()
		return Identity{Cluster: cluster, ID: id, Disk: disk}, err
	}
	var p pb.DiskIdentity
	if err := j.open(value, identityKey, "identity", &p); err != nil {
		return Identity{}, err
	}
	if p.Cluster != cluster || p.Id != id {
		return Identity{}, &IdentityError{Path: j.path, Cluster: p.Cluster, ID: p.Id,
			WantCluster: cluster, WantID: id}
	}
	return Identity{Cluster: p.Cluster, ID: p.Id, Disk: p.Disk, Run: p.Run}, nil
}

// drawDisk draws the identity of a new data folder, which is never 0.
func drawDisk() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "draw disk identity")
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil
}

// Identity returns the identity of the folder for this run.
func (j *Journal) Identity() Identity { return j.identity }

// BytesRead is how many bytes of records were read at the start.
func (j *Journal) BytesRead() int64 { return j.read }

// Close releases the file.
func (j *Journal) Close() error { return j.fileError(j.db.Close()) }

// Write syncs the durable part of a Save.
func (j *Journal) Write(s *consensus.Save) error {
	if !s.Writes() {
		return nil
	}
	err := j.db.Update(func(tx *bbolt.Tx) error {
		log, meta := tx.Bucket(logBucket), tx.Bucket(metaBucket)
		if s.Hard != nil {
			vote := &pb.DurableVote{Term: s.Hard.Term, Vote: s.Hard.Vote, Formation: s.Hard.Formation}
			if err := putProto(meta, voteKey, vote); err != nil {
				return err
			}
		}
		if s.Snapshot != nil {
			if err := replaceBySnapshot(log, meta, *s.Snapshot); err != nil {
				return err
			}
		}
		return putEntries(log, meta, s.Entries)
	})
	return j.fileError(err)
}

// WriteSnapshot syncs a local snapshot and drops the entries up to compactTo.
// It does nothing if a newer snapshot is stored.
func (j *Journal) WriteSnapshot(s consensus.Snapshot, compactTo uint64) error {
	err := j.db.Update(func(tx *bbolt.Tx) error {
		log, meta := tx.Bucket(logBucket), tx.Bucket(metaBucket)
		stored, err := j.loadSnapshot(meta)
		if err != nil || stored.Index >= s.Index {
			return err
		}
		if err := putSnapshot(meta, s); err != nil {
			return err
		}
		return deleteRange(log, 0, compactTo)
	})
	return j.fileError(err)
}

// ReadSnapshot returns the newest synced snapshot, with Index 0 if there is none.
func (j *Journal) ReadSnapshot() (s consensus.Snapshot, err error) {
	err = j.db.View(func(tx *bbolt.Tx) error {
		s, err = j.loadSnapshot(tx.Bucket(metaBucket))
		return err
	})
	return s, j.fileError(err)
}

// replaceBySnapshot drops the whole log in favour of a snapshot.
func replaceBySnapshot(log, meta *bbolt.Bucket, s consensus.Snapshot) error {
	if err := deleteRange(log, 0, 1<<63); err != nil {
		return err
	}
	if err := putSnapshot(meta, s); err != nil {
		return err
	}
	return putTail(meta, s.Index, s.Term)
}

// putEntries replaces everything from the first entry on.
func putEntries(log, meta *bbolt.Bucket, entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	last := entries[len(entries)-1]
	if err := deleteRange(log, last.Index+1, 1<<63); err != nil {
		return err
	}
	log.FillPercent = 1
	for _, e := range entries {
		encoded, err := consensus.EncodeEntry(e)
		if err != nil {
			return err
		}
		key := indexKey(e.Index)
		if err := log.Put(key, seal(key, encoded)); err != nil {
			return err
		}
	}
	return putTail(meta, last.Index, last.Term)
}

// deleteRange deletes the entries from first to last.
func deleteRange(log *bbolt.Bucket, first, last uint64) error {
	var keys [][]byte
	cursor := log.Cursor()
	for key, _ := cursor.Seek(indexKey(first)); key != nil; key, _ = cursor.Next() {
		if binary.BigEndian.Uint64(key) > last {
			break
		}
		keys = append(keys, key)
	}
	for _, key := range keys {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// putSnapshot stores the newest snapshot.
func putSnapshot(meta *bbolt.Bucket, s consensus.Snapshot) error {
	encoded, err := consensus.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	return meta.Put(snapshotKey, seal(snapshotKey, encoded))
}

// putTail stores the place of the last entry, so that a lost end is noticed.
func putTail(meta *bbolt.Bucket, index, term uint64) error {
	return putProto(meta, tailKey, &pb.LogEntry{Index: index, Term: term})
}

// putProto stores a sealed message.
func putProto(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return bucket.Put(key, seal(key, encoded))
}

// indexKey is the key of an entry.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
