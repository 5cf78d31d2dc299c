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

// keyBytes is the length of a new key before its encoding.
const keyBytes = 32

// keysCommand groups the commands on keys.
type keysCommand struct {
	New keysNewCommand `cmd:"" help:"Make a key for a caller or an operator, and its hash for a ticket or the settings."`
}

// keysNewCommand makes a key.
type keysNewCommand struct {
	JSON bool `name:"json" help:"Print JSON for programs."`
}

// newKey is a key with the hash that stands for it.
type newKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

// Run prints a new key and its hash; the key is kept nowhere.
func (c *keysNewCommand) Run(out io.Writer) error {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return errors.WithStack(err)
	}
	key := "tk-" + base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(key))
	made := newKey{Key: key, Hash: hex.EncodeToString(sum[:])}
	if c.JSON {
		text, err := json.Marshal(made)
		if err != nil {
			return errors.WithStack(err)
		}
		return printLine(out, string(text))
	}
	return printLine(out, "key   "+made.Key+"   (give it to the caller; it is not stored)\nhash  "+made.Hash+"   (for key_hashes in a ticket)")
}
