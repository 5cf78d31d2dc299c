package journal

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.etcd.io/bbolt"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

func TestJournal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "journal")
}

// entries returns command entries with the indexes from first to last.
func entries(first, last, term uint64) []consensus.Entry {
	var result []consensus.Entry
	for i := first; i <= last; i++ {
		result = append(result, consensus.Entry{Index: i, Term: term, Kind: consensus.EntryCommand, Data: []byte("command")})
	}
	return result
}

// reopen opens and closes the journal of a folder.
func reopen(dir string) (consensus.PersistedState, Identity, error) {
	j, stored, err := Open(dir, "test", 1)
	if err != nil {
		return stored, Identity{}, err
	}
	return stored, j.Identity(), j.Close()
}

// newFilledFolder writes a journal with 200 entries, a vote and a snapshot, which
// deletes the first 50 entries, and returns its folder.
func newFilledFolder() string {
	dir := GinkgoT().TempDir()
	j, _, err := Open(dir, "test", 1)
	Expect(err).NotTo(HaveOccurred())
	Expect(j.Write(&consensus.WriteBatch{HardState: &consensus.HardState{Term: 3, VotedFor: 4, ClusterID: 5}, Entries: entries(1, 200, 3)})).To(Succeed())
	Expect(j.WriteSnapshot(consensus.Snapshot{Index: 100, Term: 3, Data: make([]byte, 5000)}, 50)).To(Succeed())
	Expect(j.Close()).To(Succeed())
	return dir
}

var _ = Describe("the journal", func() {
	It("returns what was written, and keeps its disk ID across restarts", func() {
		dir := newFilledFolder()
		first, identity, err := reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.HardState).To(Equal(consensus.HardState{Term: 3, VotedFor: 4, ClusterID: 5}))
		Expect(first.Snapshot.Index).To(Equal(uint64(100)))
		Expect(first.Entries).To(Equal(entries(51, 200, 3)))
		_, reopened, err := reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(reopened.DiskID).To(Equal(identity.DiskID))
		Expect(reopened.RunNumber).To(BeNumerically(">", identity.RunNumber))
		_, other, err := reopen(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		Expect(other.DiskID).NotTo(Equal(identity.DiskID))
	})

	It("replaces entries from the first new index on, and the log by a snapshot", func() {
		dir := newFilledFolder()
		j, _, err := Open(dir, "test", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Write(&consensus.WriteBatch{Entries: entries(150, 160, 4)})).To(Succeed())
		Expect(j.Close()).To(Succeed())
		stored, _, err := reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Entries).To(Equal(append(entries(51, 149, 3), entries(150, 160, 4)...)))
		j, _, err = Open(dir, "test", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Write(&consensus.WriteBatch{Snapshot: &consensus.Snapshot{Index: 500, Term: 6}, Entries: entries(501, 502, 6)})).To(Succeed())
		Expect(j.WriteSnapshot(consensus.Snapshot{Index: 160, Term: 4}, 160)).To(Succeed(), "an older one changes nothing")
		Expect(j.Close()).To(Succeed())
		stored, _, err = reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Snapshot.Index).To(Equal(uint64(500)))
		Expect(stored.Entries).To(Equal(entries(501, 502, 6)))
	})

	It("rejects the folder of another host or cluster", func() {
		dir := newFilledFolder()
		_, _, err := Open(dir, "test", 2)
		Expect(err).To(BeAssignableToTypeOf(&IdentityError{}))
		_, _, err = Open(dir, "other", 1)
		Expect(err).To(BeAssignableToTypeOf(&IdentityError{}))
	})

	DescribeTable("rejects a torn or corrupt file and names the part", func(damage func(path string), part string) {
		dir := newFilledFolder()
		damage(filepath.Join(dir, FileName))
		_, _, err := Open(dir, "test", 1)
		Expect(err).To(BeAssignableToTypeOf(&CorruptError{}))
		Expect(err.Error()).To(ContainSubstring(FileName))
		Expect(err.(*CorruptError).Part).To(ContainSubstring(part))
	},
		Entry("cut off in the middle", func(path string) { truncateToPages(path, 3) }, "end of the file"),
		Entry("cut off inside the first page", func(path string) { Expect(os.Truncate(path, 100)).To(Succeed()) }, "meta page"),
		Entry("emptied", func(path string) { Expect(os.Truncate(path, 0)).To(Succeed()) }, "meta page"),
		Entry("first meta page torn", func(path string) { overwrite(path, 40, []byte{0xff, 0xfe}) }, "first meta page"),
		Entry("second meta page torn", func(path string) { overwrite(path, int64(os.Getpagesize())+40, []byte{0xff, 0xfe}) }, "second meta page"),
		Entry("an entry changed", func(path string) {
			editRecord(path, logBucket, indexKey(120), func(b []byte) []byte { b[len(b)-1] ^= 1; return b })
		}, "entry 120"),
		Entry("an entry under another index", func(path string) {
			editRecord(path, logBucket, indexKey(120), func([]byte) []byte { return readRecord(path, logBucket, indexKey(121)) })
		}, "entry 120"),
		Entry("the last entry missing", func(path string) { editRecord(path, logBucket, indexKey(200), nil) }, "end of the log"),
		Entry("the vote changed", func(path string) {
			editRecord(path, metaBucket, voteKey, func(b []byte) []byte { b[5]++; return b })
		}, "term and vote"),
		Entry("the snapshot cut short", func(path string) {
			editRecord(path, metaBucket, snapshotKey, func(b []byte) []byte { return b[:len(b)-9] })
		}, "snapshot"),
		Entry("the identity missing", func(path string) { editRecord(path, metaBucket, identityKey, nil) }, "identity"),
		Entry("every page but the first two zeroed", func(path string) {
			info, err := os.Stat(path)
			Expect(err).NotTo(HaveOccurred())
			page := int64(os.Getpagesize())
			overwrite(path, 2*page, make([]byte, info.Size()-2*page))
		}, ""),
	)
})

// truncateToPages truncates a file to a number of pages.
func truncateToPages(path string, pages int) {
	Expect(os.Truncate(path, int64(pages*os.Getpagesize()))).To(Succeed())
}

// overwrite overwrites the bytes at an offset.
func overwrite(path string, offset int64, b []byte) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	Expect(err).NotTo(HaveOccurred())
	_, err = file.WriteAt(b, offset)
	Expect(err).NotTo(HaveOccurred())
	Expect(file.Close()).To(Succeed())
}

// editRecord changes a stored record without updating its checksum. A nil change
// deletes the record.
func editRecord(path string, bucket, key []byte, change func([]byte) []byte) {
	var changed []byte
	if change != nil {
		changed = change(append([]byte(nil), readRecord(path, bucket, key)...))
	}
	db, err := bbolt.Open(path, fileMode, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(db.Update(func(tx *bbolt.Tx) error {
		if change == nil {
			return tx.Bucket(bucket).Delete(key)
		}
		return tx.Bucket(bucket).Put(key, changed)
	})).To(Succeed())
	Expect(db.Close()).To(Succeed())
}

// readRecord returns the stored bytes of a record.
func readRecord(path string, bucket, key []byte) (b []byte) {
	db, err := bbolt.Open(path, fileMode, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(db.View(func(tx *bbolt.Tx) error {
		b = append([]byte(nil), tx.Bucket(bucket).Get(key)...)
		return nil
	})).To(Succeed())
	Expect(db.Close()).To(Succeed())
	Expect(binary.Size(b)).To(BeNumerically(">", 0))
	return b
}
