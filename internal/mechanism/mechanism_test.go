package mechanism

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

func TestParse(t *testing.T) {
	g := NewWithT(t)
	s, err := Parse("")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s).To(BeZero())
	s, err = Parse("copies,holding")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s).To(Equal(Copies | Holding))
	g.Expect(s.Has(Copies)).To(BeTrue())
	g.Expect(s.Has(Spread)).To(BeFalse())
	_, err = Parse("copies,hold")
	var unknown *UnknownError
	g.Expect(errors.As(err, &unknown)).To(BeTrue())
	g.Expect(unknown.Name).To(Equal("hold"))
}

func TestEachMechanismHasANameOfItsOwn(t *testing.T) {
	g := NewWithT(t)
	var all []string
	var union Set
	for name, m := range names {
		g.Expect(union.Has(m)).To(BeFalse(), name)
		union |= m
		all = append(all, name)
	}
	s, err := Parse(strings.Join(all, ","))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s).To(Equal(union))
	g.Expect(union).To(Equal(PauseRate<<1 - 1))
}
