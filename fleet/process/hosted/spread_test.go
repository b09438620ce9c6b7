package hosted

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPackedConfigurationIsUnpackedWhole(t *testing.T) {
	value := bytes.Repeat([]byte(`{"Name":"orders"},`), 5000)
	packed, err := pack(value)
	assert.NilError(t, err)
	assert.Assert(t, len(packed) > 0 && len(packed) <= maxSpreadBytes)
	got, err := unpack(packed)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, value))
}

func TestLargeConfigurationIsNotPacked(t *testing.T) {
	value := make([]byte, 4*maxSpreadBytes)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	packed, err := pack(value)
	assert.NilError(t, err)
	assert.Assert(t, packed == nil)
}

func TestPackedBytesOfOthersAreBounded(t *testing.T) {
	var bomb bytes.Buffer
	packed, err := pack(make([]byte, maxConfigurationBytes))
	assert.NilError(t, err)
	bomb.Write(packed)
	bomb.Write(packed)
	_, err = unpack(bomb.Bytes())
	assert.ErrorContains(t, err, "more than")
	_, err = unpack([]byte("no gzip"))
	assert.Assert(t, err != nil)
}
