package journal

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// limitFileSizes keeps files of this process from growing beyond a limit, as on a full disk: a write is cut at the
// limit, and the next one fails. The result ends that.
func limitFileSizes(g *WithT, limitBytes uint64) (end func()) {
	signal.Ignore(syscall.SIGXFSZ)
	var before syscall.Rlimit
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed())
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: limitBytes, Max: before.Max})).To(Succeed())
	return func() { g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed()) }
}

// Guards against a data folder that never opens again since the disk was full at its first opening.
func TestJournalIsCreatedOnceAFullDiskHasRoom(t *testing.T) {
	const childVariable = "JOURNAL_TEST_CHILD"
	if os.Getenv(childVariable) == "" { // the limit is for all files of a process
		command := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		command.Env = append(os.Environ(), childVariable+"=1")
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		return
	}
	page := uint64(os.Getpagesize())
	for _, roomBytes := range []uint64{0, 100, page, 4 * page, 4*page + 3000, 8 * page} {
		g, dir := NewWithT(t), filepath.Join(t.TempDir(), "data", "log")
		end := limitFileSizes(g, roomBytes)
		for range 2 {
			_, _, err := reopen(dir)
			g.Expect(err).To(BeAssignableToTypeOf(&FileError{}), "%d bytes of room", roomBytes)
		}
		end()
		_, created, err := reopen(dir)
		g.Expect(err).NotTo(HaveOccurred(), "%d bytes of room before", roomBytes)
		_, reopened, err := reopen(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reopened.DiskID).To(Equal(created.DiskID))
		g.Expect(reopened.RunNumber).To(BeNumerically(">", created.RunNumber))
	}
}

// Guards against a creation that a dead process left half done and that is then taken for the journal.
func TestAnUnfinishedCreationIsReplaced(t *testing.T) {
	g, other := NewWithT(t), t.TempDir()
	_, otherIdentity, err := reopen(other)
	g.Expect(err).NotTo(HaveOccurred())
	whole, err := os.ReadFile(filepath.Join(other, FileName))
	g.Expect(err).NotTo(HaveOccurred())
	for _, left := range []string{"", "short", strings.Repeat("x", 1<<16), string(whole[:len(whole)/2]), string(whole)} {
		dir := t.TempDir()
		g.Expect(os.WriteFile(filepath.Join(dir, FileName+newFileSuffix), []byte(left), fileMode)).To(Succeed())
		_, identity, err := reopen(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(identity.DiskID).NotTo(Equal(otherIdentity.DiskID))
		entries, err := os.ReadDir(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(entries).To(HaveLen(1))
	}
}

// Guards against two processes that create a journal in the same folder, and the second one replacing the first's.
func TestOneProcessCreatesTheJournal(t *testing.T) {
	g, dir := NewWithT(t), t.TempDir()
	lock, err := lockFolder(dir)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = reopen(dir)
	g.Expect(err).To(BeAssignableToTypeOf(&FileError{}))
	g.Expect(lock.Close()).To(Succeed())
	_, _, err = reopen(dir)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a host that never opens its data folder because the file system of the parent can't sync folders.
func TestFolderInAFileSystemThatCantSync(t *testing.T) {
	g := NewWithT(t)
	t.Chdir(t.TempDir())
	j, _, err := Open("/proc/self/cwd", "c", 1) // a sync of /proc/self is refused
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(j.Close()).To(Succeed())
}
