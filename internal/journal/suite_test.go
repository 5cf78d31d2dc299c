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

// entries returns commands from first to last in a term.
func entries(first, last, term uint64) []consensus.Entry {
	var list []consensus.Entry
	for i := first; i <= last; i++ {
		list = append(list, consensus.Entry{Index: i, Term: term, Kind: consensus.EntryCommand, Data: []byte("command")})
	}
	return list
}

// reopen opens a folder, and closes it at once if that went well.
func reopen(dir string) (consensus.Stored, Identity, error) {
	j, stored, err := Open(dir, "test", 1)
	if err != nil {
		return stored, Identity{}, err
	}
	return stored, j.Identity(), j.Close()
}

// filled makes a folder with 200 entries, a vote and a snapshot.
func filled() string {
	dir := GinkgoT().TempDir()
	j, _, err := Open(dir, "test", 1)
	Expect(err).NotTo(HaveOccurred())
	Expect(j.Write(&consensus.Save{Hard: &consensus.HardState{Term: 3, Vote: 4, Formation: 5}, Entries: entries(1, 200, 3)})).To(Succeed())
	Expect(j.WriteSnapshot(consensus.Snapshot{Index: 100, Term: 3, Data: make([]byte, 5000)}, 50)).To(Succeed())
	Expect(j.Close()).To(Succeed())
	return dir
}

var _ = Describe("the journal", func() {
	It("gives back what was written, and keeps its identity over starts", func() {
		dir := filled()
		first, identity, err := reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Hard).To(Equal(consensus.HardState{Term: 3, Vote: 4, Formation: 5}))
		Expect(first.Snapshot.Index).To(Equal(uint64(100)))
		Expect(first.Entries).To(Equal(entries(51, 200, 3)))
		_, again, err := reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Disk).To(Equal(identity.Disk))
		Expect(again.Run).To(BeNumerically(">", identity.Run))
		_, other, err := reopen(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Disk).NotTo(Equal(identity.Disk))
	})

	It("replaces entries from the first new one on, and the log by a snapshot", func() {
		dir := filled()
		j, _, err := Open(dir, "test", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Write(&consensus.Save{Entries: entries(150, 160, 4)})).To(Succeed())
		Expect(j.Close()).To(Succeed())
		stored, _, err := reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Entries).To(Equal(append(entries(51, 149, 3), entries(150, 160, 4)...)))
		j, _, err = Open(dir, "test", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Write(&consensus.Save{Snapshot: &consensus.Snapshot{Index: 500, Term: 6}, Entries: entries(501, 502, 6)})).To(Succeed())
		Expect(j.WriteSnapshot(consensus.Snapshot{Index: 160, Term: 4}, 160)).To(Succeed(), "an older one changes nothing")
		Expect(j.Close()).To(Succeed())
		stored, _, err = reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Snapshot.Index).To(Equal(uint64(500)))
		Expect(stored.Entries).To(Equal(entries(501, 502, 6)))
	})

	It("refuses the folder of another host or cluster", func() {
		dir := filled()
		_, _, err := Open(dir, "test", 2)
		Expect(err).To(BeAssignableToTypeOf(&IdentityError{}))
		_, _, err = Open(dir, "other", 1)
		Expect(err).To(BeAssignableToTypeOf(&IdentityError{}))
	})

	DescribeTable("names a torn or corrupt file", func(damage func(path string), part string) {
		dir := filled()
		damage(filepath.Join(dir, FileName))
		_, _, err := Open(dir, "test", 1)
		Expect(err).To(BeAssignableToTypeOf(&CorruptError{}))
		Expect(err.Error()).To(ContainSubstring(FileName))
		Expect(err.(*CorruptError).Part).To(ContainSubstring(part))
	},
		Entry("cut off in the middle", func(path string) { truncate(path, 3) }, "end of the file"),
		Entry("cut off inside the first page", func(path string) { Expect(os.Truncate(path, 100)).To(Succeed()) }, "meta page"),
		Entry("emptied", func(path string) { Expect(os.Truncate(path, 0)).To(Succeed()) }, "meta page"),
		Entry("first meta page torn", func(path string) { overwrite(path, 40, []byte{0xff, 0xfe}) }, "first meta page"),
		Entry("second meta page torn", func(path string) { overwrite(path, int64(os.Getpagesize())+40, []byte{0xff, 0xfe}) }, "second meta page"),
		Entry("an entry changed", func(path string) {
			edit(path, logBucket, indexKey(120), func(b []byte) []byte { b[len(b)-1] ^= 1; return b })
		}, "entry 120"),
		Entry("an entry under another index", func(path string) {
			edit(path, logBucket, indexKey(120), func([]byte) []byte { return value(path, logBucket, indexKey(121)) })
		}, "entry 120"),
		Entry("the last entry missing", func(path string) { edit(path, logBucket, indexKey(200), nil) }, "end of the log"),
		Entry("the vote changed", func(path string) {
			edit(path, metaBucket, voteKey, func(b []byte) []byte { b[5]++; return b })
		}, "term and vote"),
		Entry("the snapshot cut short", func(path string) {
			edit(path, metaBucket, snapshotKey, func(b []byte) []byte { return b[:len(b)-9] })
		}, "snapshot"),
		Entry("the identity missing", func(path string) { edit(path, metaBucket, identityKey, nil) }, "identity"),
		Entry("every page but the first two garbled", func(path string) {
			info, err := os.Stat(path)
			Expect(err).NotTo(HaveOccurred())
			page := int64(os.Getpagesize())
			overwrite(path, 2*page, make([]byte, info.Size()-2*page))
		}, ""),
	)
})

// truncate cuts a file to so many pages.
func truncate(path string, pages int) {
	Expect(os.Truncate(path, int64(pages*os.Getpagesize()))).To(Succeed())
}

// overwrite changes bytes in place.
func overwrite(path string, offset int64, b []byte) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	Expect(err).NotTo(HaveOccurred())
	_, err = file.WriteAt(b, offset)
	Expect(err).NotTo(HaveOccurred())
	Expect(file.Close()).To(Succeed())
}

// edit changes one record behind the journal's back; nil deletes it.
func edit(path string, bucket, key []byte, change func([]byte) []byte) {
	var changed []byte
	if change != nil {
		changed = change(append([]byte(nil), value(path, bucket, key)...))
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

// value reads one record.
func value(path string, bucket, key []byte) (b []byte) {
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
