package router

import "hash/maphash"

// Bounds of the prompt's prefix as the routing table sees it.
const (
	prefixBlock  = 512 // bytes of one block
	prefixBlocks = 8   // blocks at most
)

// prefixSeed makes the hashes of this process.
var prefixSeed = maphash.MakeSeed()

// prefix hashes the leading blocks of the prompt, each over all before it,
// together with the workspace: no workspace shares a prefix with another.
func (q *query) prefix() []uint64 {
	if q.parsed == nil {
		return nil
	}
	prompt := q.parsed.Raw("messages")
	if prompt == nil {
		prompt = q.parsed.Raw("prompt")
	}
	var hash maphash.Hash
	hash.SetSeed(prefixSeed)
	_, _ = hash.WriteString(q.workspace.Name)
	var blocks []uint64
	for len(prompt) >= prefixBlock && len(blocks) < prefixBlocks {
		_, _ = hash.Write(prompt[:prefixBlock])
		prompt = prompt[prefixBlock:]
		blocks = append(blocks, hash.Sum64())
	}
	return blocks
}
