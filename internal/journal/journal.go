// Package journal stores the durable state of a replica in one bbolt file in its
// data folder: the log, the term and vote, the newest snapshot and the identity of
// the folder. A write returns after it is synced. Every record has a checksum, and
// Open rejects a torn or corrupt file. A file under the name of the journal was
// complete and synced before it got that name.
package journal

import (
	"crypto/rand"
	"encoding/binary"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// FileName is the name of the journal file in the data folder.
const FileName = "journal.db"

const (
	lockTimeout      = time.Second
	initialMmapBytes = 64 << 20
	growthStepBytes  = 1 << 20 // the file grows by this more than is needed
	fileMode         = 0o600
	folderMode       = 0o700
)

// Buckets and keys of the file.
var (
	logBucket   = []byte("log")  // entries by big-endian index
	metaBucket  = []byte("meta") // records under the keys below
	identityKey = []byte("identity")
	voteKey     = []byte("vote")
	logEndKey   = []byte("tail") // index and term of the last entry
	snapshotKey = []byte("snapshot")
)

// Identity identifies a data folder and the process that uses it.
type Identity struct {
	Cluster   string
	HostID    uint64
	DiskID    uint64 // random, chosen when the folder is first used
	RunNumber uint64 // number of the process run; increases with each start
}

// Journal is an open data folder. Write and WriteSnapshot must not be called
// concurrently with each other; ReadSnapshot may run concurrently with them.
type Journal struct {
	db        *bbolt.DB
	path      string
	identity  Identity
	bytesRead int64
}

// Open opens the data folder of a host, or creates its journal, and returns the
// stored state. Errors are *CorruptError, *IdentityError or *FileError.
func Open(dir, cluster string, id uint64) (*Journal, consensus.PersistedState, error) {
	path := filepath.Join(dir, FileName)
	if err := createIfMissing(dir, cluster, id); err != nil {
		return nil, consensus.PersistedState{}, err
	}
	if err := checkMetaPages(path); err != nil {
		return nil, consensus.PersistedState{}, err
	}
	stored, bytesRead, err := verifyFile(path)
	if err != nil {
		return nil, consensus.PersistedState{}, err
	}
	j, err := openFile(path)
	if err != nil {
		return nil, consensus.PersistedState{}, err
	}
	j.bytesRead = bytesRead
	if err := errors.CombineErrors(j.updateIdentity(cluster, id), SyncFolder(dir)); err != nil {
		_ = j.Close()
		return nil, consensus.PersistedState{}, err
	}
	return j, stored, nil
}

// openFile opens a journal file for writing, and creates it if it is missing.
func openFile(path string) (*Journal, error) {
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true,
		FreelistType: bbolt.FreelistMapType, InitialMmapSize: initialMmapBytes})
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	db.AllocSize = growthStepBytes
	return &Journal{db: db, path: path}, nil
}

// updateIdentity loads or creates the identity and stores it with a higher run number.
func (j *Journal) updateIdentity(cluster string, id uint64) error {
	err := j.db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		identity, err := j.loadOrCreateIdentity(meta, cluster, id)
		if err != nil {
			return err
		}
		identity.RunNumber = max(identity.RunNumber+1, uint64(time.Now().UnixMilli()))
		j.identity = identity
		return putProto(meta, identityKey, &pb.DiskIdentity{Cluster: identity.Cluster, Id: identity.HostID,
			Disk: identity.DiskID, Run: identity.RunNumber})
	})
	return j.wrapError(err)
}

// loadOrCreateIdentity loads the stored identity and checks the host and cluster, or
// creates an identity for an empty folder.
func (j *Journal) loadOrCreateIdentity(meta *bbolt.Bucket, cluster string, id uint64) (Identity, error) {
	value := meta.Get(identityKey)
	if value == nil && meta.Get(voteKey) != nil {
		return Identity{}, &CorruptError{Path: j.path, Part: "identity", Cause: &checksumError{}}
	}
	if value == nil {
		diskID, err := newDiskID()
		return Identity{Cluster: cluster, HostID: id, DiskID: diskID}, err
	}
	var p pb.DiskIdentity
	if err := j.decode(value, identityKey, "identity", &p); err != nil {
		return Identity{}, err
	}
	if p.Cluster != cluster || p.Id != id {
		return Identity{}, &IdentityError{Path: j.path, Cluster: p.Cluster, HostID: p.Id,
			WantCluster: cluster, WantHostID: id}
	}
	return Identity{Cluster: p.Cluster, HostID: p.Id, DiskID: p.Disk, RunNumber: p.Run}, nil
}

// newDiskID returns a random identifier for a new data folder. It is never 0.
func newDiskID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "generate disk ID")
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil
}

// Identity returns the identity of the folder and of this run.
func (j *Journal) Identity() Identity { return j.identity }

// BytesRead returns the size of the snapshot and the entries that Open read.
func (j *Journal) BytesRead() int64 { return j.bytesRead }

// Close closes the file.
func (j *Journal) Close() error { return j.wrapError(j.db.Close()) }

// Write stores and syncs the term and vote, snapshot and entries of a batch.
func (j *Journal) Write(batch *consensus.WriteBatch) error {
	if !batch.NeedsSync() {
		return nil
	}
	err := j.db.Update(func(tx *bbolt.Tx) error {
		log, meta := tx.Bucket(logBucket), tx.Bucket(metaBucket)
		if batch.HardState != nil {
			vote := &pb.DurableVote{Term: batch.HardState.Term, Vote: batch.HardState.VotedFor, Formation: batch.HardState.ClusterID}
			if err := putProto(meta, voteKey, vote); err != nil {
				return err
			}
		}
		if batch.Snapshot != nil {
			if err := replaceLogWithSnapshot(log, meta, *batch.Snapshot); err != nil {
				return err
			}
		}
		return putEntries(log, meta, batch.Entries)
	})
	return j.wrapError(err)
}

// WriteSnapshot stores and syncs a local snapshot and deletes the entries up to
// compactIndex. It does nothing unless the snapshot is newer than the stored one.
func (j *Journal) WriteSnapshot(s consensus.Snapshot, compactIndex uint64) error {
	err := j.db.Update(func(tx *bbolt.Tx) error {
		log, meta := tx.Bucket(logBucket), tx.Bucket(metaBucket)
		stored, err := j.loadSnapshot(meta)
		if err != nil || stored.Index >= s.Index {
			return err
		}
		if err := putSnapshot(meta, s); err != nil {
			return err
		}
		return deleteRange(log, 0, compactIndex)
	})
	return j.wrapError(err)
}

// ReadSnapshot returns the newest synced snapshot, with Index 0 if there is none.
func (j *Journal) ReadSnapshot() (s consensus.Snapshot, err error) {
	err = j.db.View(func(tx *bbolt.Tx) error {
		s, err = j.loadSnapshot(tx.Bucket(metaBucket))
		return err
	})
	return s, j.wrapError(err)
}

// replaceLogWithSnapshot deletes all entries and stores a snapshot.
func replaceLogWithSnapshot(log, meta *bbolt.Bucket, s consensus.Snapshot) error {
	if err := deleteRange(log, 0, 1<<63); err != nil {
		return err
	}
	if err := putSnapshot(meta, s); err != nil {
		return err
	}
	return putLogEnd(meta, s.Index, s.Term)
}

// putEntries stores consecutive entries and deletes all later ones.
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
		if err := log.Put(key, withChecksum(key, encoded)); err != nil {
			return err
		}
	}
	return putLogEnd(meta, last.Index, last.Term)
}

// deleteRange deletes the entries from first to last, inclusive.
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

func putSnapshot(meta *bbolt.Bucket, s consensus.Snapshot) error {
	encoded, err := consensus.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	return meta.Put(snapshotKey, withChecksum(snapshotKey, encoded))
}

// putLogEnd stores the index and term of the last entry, so that load detects a log
// that lost its end.
func putLogEnd(meta *bbolt.Bucket, index, term uint64) error {
	return putProto(meta, logEndKey, &pb.LogEntry{Index: index, Term: term})
}

// putProto stores an encoded message with its checksum.
func putProto(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return bucket.Put(key, withChecksum(key, encoded))
}

// indexKey returns the key of a log entry.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
