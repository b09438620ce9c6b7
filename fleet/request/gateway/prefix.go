package gateway

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
)

// minPrefixBytes is the shortest first message that is looked up as a prefix of
// its own, such as a drawing file that several chats of an account share.
const minPrefixBytes = 4096

// prefixKey identifies the long first message of a chat within its account, or
// is zero when there is none.
func prefixKey(account string, messages []json.RawMessage) uint64 {
	if len(messages) == 0 || len(messages[0]) < minPrefixBytes {
		return 0
	}
	return entry.Mix(xxhash.Sum64String(account), xxhash.Sum64(messages[0]))
}
