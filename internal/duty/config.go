package duty

import (
	"fmt"
	"time"
)

// ConfigError reports a value of a Config that a Keeper can't work with.
type ConfigError struct {
	Field  string
	Reason string
}

// Error names the field.
func (e *ConfigError) Error() string { return fmt.Sprintf("duties: %s %s", e.Field, e.Reason) }

// Validate checks the configuration. An error is a *ConfigError.
func (c Config) Validate() error {
	positive := []struct {
		field string
		value time.Duration
	}{
		{"Lease", c.Lease}, {"CallTimeout", c.CallTimeout}, {"Margin", c.Margin},
		{"WindowLength", c.WindowLength}, {"Due", c.Due},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return &ConfigError{Field: p.field, Reason: "must be positive"}
		}
	}
	switch {
	case c.Life == 0:
		return &ConfigError{Field: "Life", Reason: "must not be 0"}
	case len(c.HostName) > MaxHostNameBytes:
		return &ConfigError{Field: "HostName", Reason: fmt.Sprintf("is longer than %d bytes", MaxHostNameBytes)}
	case c.Lease <= c.CallTimeout+c.Margin:
		return &ConfigError{Field: "Lease", Reason: "must be longer than CallTimeout and Margin"}
	case c.Reuse < 0 || c.CallInterval < 0:
		return &ConfigError{Field: "Reuse, CallInterval", Reason: "must not be negative"}
	case c.SettleDelay < 0 || c.SettleDelay >= c.Due:
		return &ConfigError{Field: "SettleDelay", Reason: "must be shorter than Due"}
	}
	return nil
}
