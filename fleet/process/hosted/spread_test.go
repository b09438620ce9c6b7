package hosted

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCompressedConfigurationRoundTrip(t *testing.T) {
	value := bytes.Repeat([]byte(`{"Name":"orders"},`), 5000)
	compressed, err := compress(value)
	assert.NilError(t, err)
	assert.Assert(t, len(compressed) > 0 && len(compressed) <= maxBroadcastBytes)
	got, err := decompress(compressed)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, value))
}

func TestCompressConfigurationTooLarge(t *testing.T) {
	value := make([]byte, 4*maxBroadcastBytes)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	compressed, err := compress(value)
	assert.NilError(t, err)
	assert.Assert(t, compressed == nil)
}

func TestDecompressConfigurationLimit(t *testing.T) {
	var bomb bytes.Buffer
	compressed, err := compress(make([]byte, maxConfigurationBytes))
	assert.NilError(t, err)
	bomb.Write(compressed)
	bomb.Write(compressed)
	_, err = decompress(bomb.Bytes())
	assert.ErrorContains(t, err, "more than")
	_, err = decompress([]byte("no gzip"))
	assert.Assert(t, err != nil)
}
