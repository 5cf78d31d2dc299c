package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// keyBytes is the number of random bytes in a new key.
const keyBytes = 32

// keysCommand groups the commands for API keys and operators' tokens.
type keysCommand struct {
	New keysNewCommand `cmd:"" help:"Make a key for a caller or an operator, and its hash for a ticket or the settings."`
}

// keysNewCommand generates a key.
type keysNewCommand struct {
	JSON bool `name:"json" help:"Print JSON for programs."`
}

// generatedKey is a key with its lower-case hex SHA-256 hash, by which tickets
// and settings refer to it.
type generatedKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

// Run prints a new key and its hash; the key is not stored.
func (c *keysNewCommand) Run(out io.Writer) error {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return errors.WithStack(err)
	}
	key := "tk-" + base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(key))
	generated := generatedKey{Key: key, Hash: hex.EncodeToString(sum[:])}
	if c.JSON {
		text, err := json.Marshal(generated)
		if err != nil {
			return errors.WithStack(err)
		}
		return printLine(out, string(text))
	}
	return printLine(out, "key   "+generated.Key+"   (give it to the caller; it is not stored)\nhash  "+generated.Hash+"   (for key_hashes in a ticket)")
}
