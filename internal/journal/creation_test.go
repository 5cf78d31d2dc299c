package journal

import (
	"os"
	"os/signal"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// withFileSizeLimit calls f while no file of this process may be longer than a limit, as on a full disk: writes
// are cut at the limit, and the next one fails.
func withFileSizeLimit(limitBytes uint64, f func()) {
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	var before syscall.Rlimit
	Expect(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed())
	defer func() { Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed()) }()
	Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: limitBytes, Max: before.Max})).To(Succeed())
	f()
}

var _ = Describe("the creation of a journal", func() {
	// Guards against a data folder that never opens again since the disk was full at its first opening.
	DescribeTable("succeeds once a full disk has room", func(roomBytes uint64) {
		dir := GinkgoT().TempDir()
		withFileSizeLimit(roomBytes, func() {
			for range 2 {
				_, _, err := reopen(dir)
				Expect(err).To(BeAssignableToTypeOf(&FileError{}))
			}
		})
		_, created, err := reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		stored, reopened, err := reopen(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Entries).To(BeEmpty())
		Expect(reopened.DiskID).To(Equal(created.DiskID))
		Expect(reopened.RunNumber).To(BeNumerically(">", created.RunNumber))
	},
		Entry("none", uint64(0)),
		Entry("part of the first page", uint64(100)),
		Entry("one page", uint64(os.Getpagesize())),
		Entry("the first four pages", uint64(4*os.Getpagesize())),
		Entry("part of the first commit", uint64(4*os.Getpagesize()+3000)),
	)
})
