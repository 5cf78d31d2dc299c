package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/settings"
)

const process = "[process]\nname = \"p\"\nhost = \"h\"\nfailure_domain = \"d\"\n"

const agentText = "[[agent]]\nendpoint = \"e\"\ngroup = \"g\"\nkind = \"engine\"\nlisten = \"127.0.0.1:0\"\nurl = \"http://127.0.0.1:1\"\nendpoint_url = \"http://127.0.0.1:2\"\nmodels = [\"m\"]\n"

const directory = "[directory]\ncontrol_urls = [\"http://127.0.0.1:7300\"]\n"

// keys lists the keys of the settings as the page writes them.
func keys(t reflect.Type, prefix string) []string {
	var all []string
	for i := range t.NumField() {
		field := t.Field(i)
		name := prefix + field.Tag.Get("toml")
		of := field.Type
		if of.Kind() == reflect.Slice || of.Kind() == reflect.Pointer {
			of = of.Elem()
		}
		if of.Kind() != reflect.Struct {
			all = append(all, name)
			continue
		}
		all = append(all, keys(of, name+".")...)
	}
	return all
}

var _ = Describe("settings", func() {
	It("are documented, key by key", func() {
		page, err := os.ReadFile("../../docs/SETTINGS.md")
		Expect(err).NotTo(HaveOccurred())
		known := keys(reflect.TypeFor[settings.Settings](), "")
		Expect(len(known)).To(BeNumerically(">", 25))
		for _, key := range known {
			Expect(string(page)).To(ContainSubstring("| `" + key + "` |"))
		}
	})

	It("are read with their defaults", func() {
		s, err := settings.Parse("f", []byte(process+agentText+directory))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Agents[0].Slots).To(Equal(8))
		Expect(s.Process.LogLevel).To(Equal("info"))
	})

	DescribeTable("are refused with every fault by its key", func(text string, keys ...string) {
		_, err := settings.Parse("f", []byte(text))
		var refused *settings.FaultsError
		Expect(errors.As(err, &refused)).To(BeTrue())
		var found []string
		for _, f := range refused.Faults {
			found = append(found, f.Key)
		}
		for _, key := range keys {
			Expect(found).To(ContainElement(key), strings.Join(found, ", "))
		}
	},
		Entry("no role", process, "control, router, agent"),
		Entry("nothing at all", "", "process.name", "process.host", "process.failure_domain"),
		Entry("unknown key", process+agentText+directory+"[tls]\ncert = \"x\"\n", "tls.cert"),
		Entry("no TOML", "[process", "toml"),
		Entry("a duration without a unit", "[process]\nstop_timeout = \"5\"\n", "toml"),
		Entry("several at once", process+"log_level = \"loud\"\n[router]\nlisten = \"localhost:1\"\nmax_body_bytes = -1\n", "process.log_level", "router.listen", "router.max_body_bytes", "directory.control_urls"),
		Entry("a router off loopback without a certificate", process+"[router]\nlisten = \"10.0.0.1:7100\"\n"+directory, "router.listen"),
		Entry("an agent off loopback without a CA", process+strings.Replace(agentText, "127.0.0.1:0", "10.0.0.1:7201", 1)+directory, "agent[0].listen"),
		Entry("administration off loopback", process+agentText+directory+"[administration]\nlisten = \"0.0.0.0:1\"\n", "administration.listen"),
		Entry("two agents of one name", process+agentText+agentText+directory, "agent[1].endpoint"),
		Entry("a kind that does not exist", process+strings.Replace(agentText, `"engine"`, `"engin"`, 1)+directory, "agent[0].kind"),
		Entry("more slots than the bound", process+agentText+"slots = 9000\n"+directory, "agent[0].slots"),
		Entry("control without a folder, members and a good token", process+"[control]\nid = 0\nlisten = \"x\"\nurl = \"y\"\n[[control.token]]\nname = \"\"\nhash = \"abc\"\nroles = [\"root\"]\n",
			"process.data_folder", "control.id", "control.listen", "control.url", "control.member", "control.token[0].name", "control.token[0].hash", "control.token[0].roles"),
		Entry("https without a certificate", process+strings.Replace(agentText, "url = \"http:", "url = \"https:", 1)+strings.Replace(directory, "http:", "https:", 1), "agent[0].url", "directory.control_urls[0]"),
		Entry("http beside a certificate", process+agentText+directory+"[control]\nurl = \"http://127.0.0.1:1\"\n[[control.member]]\nid = 1\nurl = \"http://127.0.0.1:1\"\n[tls]\ncertificate = \"c\"\n",
			"agent[0].url", "directory.control_urls[0]", "control.url", "control.member[0].url"),
		Entry("a certificate without its key, missing", process+agentText+directory+"[tls]\ncertificate = \"/nonexistent\"\n", "tls", "tls.certificate"),
	)

	It("of the examples are good", func() {
		files, err := filepath.Glob("../../examples/*/settings/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			_, err := settings.Load(file)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("that can't be read are refused", func() {
		_, err := settings.Load("/nonexistent.toml")
		Expect(err).To(MatchError(ContainSubstring("nonexistent")))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(process + agentText + directory))
	f.Add([]byte("[control]\nid = 1\n[[control.member]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Fatal("neither settings nor a refusal, or both")
		}
	})
}
