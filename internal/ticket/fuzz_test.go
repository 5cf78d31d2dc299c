package ticket_test

import (
	"testing"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// FuzzDecodeTOML checks that a decoded ticket file is unchanged after encoding and
// decoding it again.
func FuzzDecodeTOML(f *testing.F) {
	f.Add([]byte("number = 1\n[[class]]\nname = \"a\"\ntier = 1\npatience = \"4s\"\n[[workspace]]\nname = \"w\"\nclasses = [\"a\"]\n"))
	f.Add([]byte("number = 1\n[[limit]]\nconcurrency = 0\n[[remove]]\nkind = \"class\"\n"))
	f.Add([]byte("class = [{name = \"a\", patience = 4}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tkt, err := ticket.DecodeTOML(text)
		if err != nil {
			return
		}
		written, err := ticket.EncodeTOML(tkt)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ticket.DecodeTOML(written)
		if err != nil {
			t.Fatalf("%v in re-encoded file\n%s", err, written)
		}
		if string(mustEncode(t, tkt)) != string(mustEncode(t, again)) {
			t.Fatalf("the ticket differs after re-encoding as\n%s", written)
		}
	})
}

// FuzzSubmit checks that no input causes a panic, that submitting it again gives
// the same verdict, and that a snapshot restores the configuration.
func FuzzSubmit(f *testing.F) {
	f.Add([]byte(`{"number":1,"author":"a","summary":"","class":[{"name":"a","tier":1,"first_token_target":"490ms","between_tokens_target":"0s","deadline":"9s","patience":"4s","non_idempotent":false}]}`))
	f.Add([]byte(`{"number":2,"author":"a","limit":[{"name":"l","concurrency":0}],"remove":[{"kind":"class","name":"a"}]}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		store := ticket.NewStore()
		first := store.Submit(encoded, 1)
		again := store.Submit(encoded, 2)
		if first.Kind != again.Kind || first.Revision != again.Revision {
			t.Fatalf("%v, then %v", first, again)
		}
		snapshot, err := store.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := ticket.RestoreStore(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		if encodedConfiguration(t, restored.Configuration()) != encodedConfiguration(t, store.Configuration()) {
			t.Fatal("the restored configuration differs")
		}
	})
}
