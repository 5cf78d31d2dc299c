package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestLastScoreIsTheNewestFullOne(t *testing.T) {
	folder := t.TempDir()
	for name, content := range map[string]string{
		"1-a.json": `{"id":"a","cmd":"score","site":"s","score":0.5,"argv":["s.toml"],"days":[{"name":"quiet-1","G":0.8,"gate":true}]}`,
		"2-b.json": `{"id":"b","cmd":"score","site":"s","score":0.46,"argv":["s.toml"],"days":[{"name":"quiet-1","G":0.7,"gate":false}]}`,
		"3-c.json": `{"id":"c","cmd":"score","site":"s","score":0.9,"argv":["s.toml","--quick"],"days":[]}`,
		"4-d.json": `{"id":"d","cmd":"hunt","site":"s","score":null,"argv":[],"days":4}`,
		"5-e.json": `{"id":"e","cmd":"score","site":"other","score":1,"argv":[],"days":[]}`,
	} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	newest, err := lastScore(folder, "s")
	if err != nil || newest == nil || newest.ID != "b" {
		t.Fatalf("got %+v, %v", newest, err)
	}
	if none, err := lastScore(folder, "unknown"); none != nil || err != nil {
		t.Fatalf("got %+v, %v", none, err)
	}
	earlier := &score{Score: 0.5, Days: []day{{Gate: true}}}
	for _, c := range []struct {
		now  score
		want bool
	}{
		{score{Score: 0.48, Days: []day{{Gate: true}}}, true},
		{score{Score: 0.46, Days: []day{{Gate: true}}}, false},
		{score{Score: 0.9, Days: []day{{Gate: true}, {}}}, false},
		{score{Score: 0.9}, false},
	} {
		if c.now.holds(earlier) != c.want {
			t.Errorf("%+v: want %v", c.now, c.want)
		}
	}
}
