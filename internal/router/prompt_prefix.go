package router

import "hash/maphash"

// Limits of the prompt prefix that the routing table compares for cache affinity.
const (
	prefixBlockBytes = 512
	maxPrefixBlocks  = 8
)

// prefixHashSeed is random for each process: hashes are not comparable between
// routers.
var prefixHashSeed = maphash.MakeSeed()

// prefixHashes hashes the leading blocks of the prompt. Each hash covers all blocks
// up to its own and the workspace, so that workspaces never share a prefix.
func (req *callerRequest) prefixHashes() []uint64 {
	if req.parsedBody == nil {
		return nil
	}
	prompt := req.parsedBody.Raw("messages")
	if prompt == nil {
		prompt = req.parsedBody.Raw("prompt")
	}
	var hash maphash.Hash
	hash.SetSeed(prefixHashSeed)
	_, _ = hash.WriteString(req.workspace.Name)
	var blocks []uint64
	for len(prompt) >= prefixBlockBytes && len(blocks) < maxPrefixBlocks {
		_, _ = hash.Write(prompt[:prefixBlockBytes])
		prompt = prompt[prefixBlockBytes:]
		blocks = append(blocks, hash.Sum64())
	}
	return blocks
}
