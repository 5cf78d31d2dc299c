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

const processSection = "[process]\nname = \"p\"\nhost = \"h\"\nfailure_domain = \"d\"\n"

const agentSection = "[[agent]]\nendpoint = \"e\"\ngroup = \"g\"\nkind = \"engine\"\nlisten = \"127.0.0.1:0\"\nurl = \"http://127.0.0.1:1\"\nendpoint_url = \"http://127.0.0.1:2\"\nmodels = [\"m\"]\n"

const directorySection = "[directory]\ncontrol_urls = [\"http://127.0.0.1:7300\"]\n"

// tomlKeys lists the TOML keys of a struct type and its nested types.
func tomlKeys(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		name := prefix + field.Tag.Get("toml")
		fieldType := field.Type
		if fieldType.Kind() == reflect.Slice || fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		if fieldType.Kind() != reflect.Struct {
			keys = append(keys, name)
			continue
		}
		keys = append(keys, tomlKeys(fieldType, name+".")...)
	}
	return keys
}

var _ = Describe("settings", func() {
	It("has every key in docs/SETTINGS.md", func() {
		page, err := os.ReadFile("../../docs/SETTINGS.md")
		Expect(err).NotTo(HaveOccurred())
		keys := tomlKeys(reflect.TypeFor[settings.Settings](), "")
		Expect(len(keys)).To(BeNumerically(">", 25))
		for _, key := range keys {
			Expect(string(page)).To(ContainSubstring("| `" + key + "` |"))
		}
	})

	It("fills in defaults", func() {
		s, err := settings.Parse("f", []byte(processSection+agentSection+directorySection))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Agents[0].InitialSlots).To(Equal(8))
		Expect(s.Process.LogLevel).To(Equal("info"))
	})

	DescribeTable("reports every fault by its key", func(text string, tomlKeys ...string) {
		_, err := settings.Parse("f", []byte(text))
		var invalid *settings.InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		var found []string
		for _, f := range invalid.Faults {
			found = append(found, f.Key)
		}
		for _, key := range tomlKeys {
			Expect(found).To(ContainElement(key), strings.Join(found, ", "))
		}
	},
		Entry("no role", processSection, "control, router, agent"),
		Entry("empty file", "", "process.name", "process.host", "process.failure_domain"),
		Entry("unknown key", processSection+agentSection+directorySection+"[tls]\ncert = \"x\"\n", "tls.cert"),
		Entry("malformed TOML", "[process", "toml"),
		Entry("a duration without a unit", "[process]\nstop_timeout = \"5\"\n", "toml"),
		Entry("several faults", processSection+"log_level = \"loud\"\n[router]\nlisten = \"localhost:1\"\nmax_body_bytes = -1\n", "process.log_level", "router.listen", "router.max_body_bytes", "directory.control_urls"),
		Entry("a router outside loopback without a certificate", processSection+"[router]\nlisten = \"10.0.0.1:7100\"\n"+directorySection, "router.listen"),
		Entry("an agent outside loopback without a CA", processSection+strings.Replace(agentSection, "127.0.0.1:0", "10.0.0.1:7201", 1)+directorySection, "agent[0].listen"),
		Entry("an administration listener outside loopback", processSection+agentSection+directorySection+"[administration]\nlisten = \"0.0.0.0:1\"\n", "administration.listen"),
		Entry("two agents of one endpoint", processSection+agentSection+agentSection+directorySection, "agent[1].endpoint"),
		Entry("an unknown kind", processSection+strings.Replace(agentSection, `"engine"`, `"engin"`, 1)+directorySection, "agent[0].kind"),
		Entry("more slots than max_slots", processSection+agentSection+"slots = 9000\n"+directorySection, "agent[0].slots"),
		Entry("control without a data folder, members and a valid token", processSection+"[control]\nid = 0\nlisten = \"x\"\nurl = \"y\"\n[[control.token]]\nname = \"\"\nhash = \"abc\"\nroles = [\"root\"]\n",
			"process.data_folder", "control.id", "control.listen", "control.url", "control.member", "control.token[0].name", "control.token[0].hash", "control.token[0].roles"),
		Entry("https without a certificate", processSection+strings.Replace(agentSection, "url = \"http:", "url = \"https:", 1)+strings.Replace(directorySection, "http:", "https:", 1), "agent[0].url", "directory.control_urls[0]"),
		Entry("http with a certificate", processSection+agentSection+directorySection+"[control]\nurl = \"http://127.0.0.1:1\"\n[[control.member]]\nid = 1\nurl = \"http://127.0.0.1:1\"\n[tls]\ncertificate = \"c\"\n",
			"agent[0].url", "directory.control_urls[0]", "control.url", "control.member[0].url"),
		Entry("a certificate without a key, its file missing", processSection+agentSection+directorySection+"[tls]\ncertificate = \"/nonexistent\"\n", "tls", "tls.certificate"),
	)

	It("accepts the settings of the examples", func() {
		files, err := filepath.Glob("../../examples/*/settings/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			_, err := settings.Load(file)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("reports a file that can't be read", func() {
		_, err := settings.Load("/nonexistent.toml")
		Expect(err).To(MatchError(ContainSubstring("nonexistent")))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(processSection + agentSection + directorySection))
	f.Add([]byte("[control]\nid = 1\n[[control.member]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Fatal("want either settings or an error")
		}
	})
}
