package main

import (
	"testing"

	"github.com/alecthomas/kong"
	. "github.com/onsi/gomega"
)

// A default value of a flag counts as a given flag in kong's check of exclusive
// flags, so each mode is tried alone, with --check and beside each other mode.
func TestExactlyOneModeIsAccepted(t *testing.T) {
	modes := map[string][]string{"settings": {"--settings", "x.toml"}, "embedded": {"--embedded"}, "platform": {"--platform", "entry"}}
	parse := func(args ...string) (*cli, error) {
		c := &cli{}
		parser, err := kong.New(c, kong.Name("trefoilkeeld"), kong.Exit(func(int) { t.Error("the parser ended the process") }))
		if err != nil {
			return nil, err
		}
		_, err = parser.Parse(args)
		return c, err
	}
	g := NewWithT(t)
	for name, args := range modes {
		_, err := parse(args...)
		g.Expect(err).NotTo(HaveOccurred(), name)
		_, err = parse(append([]string{"--check"}, args...)...)
		g.Expect(err).NotTo(HaveOccurred(), "check and "+name)
		for other, otherArgs := range modes {
			if other != name {
				_, err = parse(append(append([]string{}, args...), otherArgs...)...)
				g.Expect(err).To(MatchError(ContainSubstring("can't be used together")), name+" and "+other)
			}
		}
	}
	for _, args := range [][]string{nil, {"--check"}, {"--platform", "agent"}, {"--platform", ""}} {
		_, err := parse(args...)
		g.Expect(err).To(HaveOccurred(), "%q", args)
	}
	c, err := parse("--platform", "control")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Platform).To(Equal("control"))
}
