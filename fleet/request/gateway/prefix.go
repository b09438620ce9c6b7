package gateway

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
)

// minPrefixBytes is the minimum size of a first message that is treated as a
// prefix, such as a document that several chats of an account share.
const minPrefixBytes = 4096

// prefixKey returns a hash of the account and a chat's first message, or 0 if
// that message is shorter than minPrefixBytes.
func prefixKey(account string, messages []json.RawMessage) uint64 {
	if len(messages) == 0 || len(messages[0]) < minPrefixBytes {
		return 0
	}
	return entry.Mix(xxhash.Sum64String(account), xxhash.Sum64(messages[0]))
}
