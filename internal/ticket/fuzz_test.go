package ticket_test

import (
	"testing"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// FuzzDecodeTOML checks that what is read can be written and read again.
func FuzzDecodeTOML(f *testing.F) {
	f.Add([]byte("number = 1\n[[class]]\nname = \"a\"\ntier = 1\npatience = \"4s\"\n[[workspace]]\nname = \"w\"\nclasses = [\"a\"]\n"))
	f.Add([]byte("number = 1\n[[limit]]\nconcurrency = 0\n[[remove]]\nkind = \"class\"\n"))
	f.Add([]byte("class = [{name = \"a\", patience = 4}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := ticket.DecodeTOML(text)
		if err != nil {
			return
		}
		written, err := ticket.EncodeTOML(n)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ticket.DecodeTOML(written)
		if err != nil {
			t.Fatalf("%v in\n%s", err, written)
		}
		if string(mustEncode(t, n)) != string(mustEncode(t, again)) {
			t.Fatalf("differs after\n%s", written)
		}
	})
}

// FuzzSubmit checks that no input breaks the book, and that what is accepted
// can be read from a snapshot.
func FuzzSubmit(f *testing.F) {
	f.Add([]byte(`{"number":1,"author":"a","summary":"","class":[{"name":"a","tier":1,"first_token_target":"490ms","between_tokens_target":"0s","deadline":"9s","patience":"4s","non_idempotent":false}]}`))
	f.Add([]byte(`{"number":2,"author":"a","limit":[{"name":"l","concurrency":0}],"remove":[{"kind":"class","name":"a"}]}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		book := ticket.NewBook()
		first := book.Submit(encoded, 1)
		again := book.Submit(encoded, 2)
		if first.Kind != again.Kind || first.Revision != again.Revision {
			t.Fatalf("%v, then %v", first, again)
		}
		image, err := book.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := ticket.RestoreBook(image)
		if err != nil {
			t.Fatal(err)
		}
		if stateText(t, restored.State()) != stateText(t, book.State()) {
			t.Fatal("a restored book differs")
		}
	})
}
