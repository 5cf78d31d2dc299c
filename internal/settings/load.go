package settings

import (
	"bytes"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Fault is a problem with one key.
type Fault struct {
	Key     string
	Problem string
}

// InvalidError lists every fault of the settings.
type InvalidError struct {
	File   string
	Faults []Fault
}

// Error writes one fault per line.
func (e *InvalidError) Error() string {
	var b strings.Builder
	b.WriteString("settings " + e.File + " are refused:")
	for _, f := range e.Faults {
		b.WriteString("\n  " + f.Key + ": " + f.Problem)
	}
	return b.String()
}

// DurationError reports a duration that is malformed, not positive or without a unit.
type DurationError struct {
	Text string
}

func (e *DurationError) Error() string {
	return "duration " + e.Text + " needs a unit, for example 5s"
}

// UnmarshalText parses a positive duration such as "5s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v <= 0 {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// Load reads and checks a file. An error is an *InvalidError with every fault.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(&InvalidError{File: file, Faults: []Fault{{Key: "file", Problem: err.Error()}}})
	}
	return Parse(file, data)
}

// Parse decodes and checks settings. The file name is used in errors only. An error
// is an *InvalidError with every fault.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	meta, err := toml.NewDecoder(bytes.NewReader(data)).Decode(s)
	if err != nil {
		return nil, errors.WithStack(&InvalidError{File: file, Faults: []Fault{{Key: "toml", Problem: err.Error()}}})
	}
	var faults []Fault
	for _, key := range meta.Undecoded() {
		faults = append(faults, Fault{Key: key.String(), Problem: "unknown key"})
	}
	s.applyDefaults()
	faults = append(faults, s.Check()...)
	if len(faults) > 0 {
		return nil, errors.WithStack(&InvalidError{File: file, Faults: faults})
	}
	return s, nil
}
