package settings

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// MinSecretBytes is the minimum length of a secret.
const MinSecretBytes = 16

// Read returns the secret from the source that s names. It returns an error if
// the secret is shorter than MinSecretBytes.
func (s Secret) Read() (string, error) {
	value := os.Getenv(s.Env)
	source := "environment variable " + s.Env
	if s.File != "" {
		data, err := os.ReadFile(s.File)
		if err != nil {
			return "", errors.Wrap(err, "secret")
		}
		value = strings.TrimSpace(string(data))
		source = "file " + s.File
	}
	if len(value) < MinSecretBytes {
		return "", errors.Newf("secret in %s has %d bytes: allowed: %d or more", source, len(value), MinSecretBytes)
	}
	return value, nil
}
