package settings

import (
	"bytes"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Fault is one thing wrong with a key.
type Fault struct {
	Key     string
	Problem string
}

// FaultsError lists everything wrong with the settings.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *FaultsError) Error() string {
	var b strings.Builder
	b.WriteString("settings " + e.File + " are refused:")
	for _, f := range e.Faults {
		b.WriteString("\n  " + f.Key + ": " + f.Problem)
	}
	return b.String()
}

// DurationError is a duration without a unit.
type DurationError struct {
	Text string
}

// Error gives the text.
func (e *DurationError) Error() string {
	return "duration " + e.Text + " needs a unit, for example 5s"
}

// UnmarshalText reads a duration such as "5s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v <= 0 {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// Load reads and checks a file; an error is a *FaultsError with every fault.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(&FaultsError{File: file, Faults: []Fault{{Key: "file", Problem: err.Error()}}})
	}
	return Parse(file, data)
}

// Parse reads and checks settings; an error is a *FaultsError with every fault.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	meta, err := toml.NewDecoder(bytes.NewReader(data)).Decode(s)
	if err != nil {
		return nil, errors.WithStack(&FaultsError{File: file, Faults: []Fault{{Key: "toml", Problem: err.Error()}}})
	}
	var faults []Fault
	for _, key := range meta.Undecoded() {
		faults = append(faults, Fault{Key: key.String(), Problem: "unknown key"})
	}
	s.fill()
	faults = append(faults, s.Check()...)
	if len(faults) > 0 {
		return nil, errors.WithStack(&FaultsError{File: file, Faults: faults})
	}
	return s, nil
}
