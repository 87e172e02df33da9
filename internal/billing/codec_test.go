package billing

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
)

// storedExample is the payload of a stored row. Rows once written must stay
// readable.
const storedExample = "6a5cca98529c915fc0945e04d26b60cefc0da43b319129bd38373127c7c19039a9d8904592518755228a4d2285fd2bab440a200000ffff"

func TestStoredRowsStayReadable(t *testing.T) {
	payload, err := hex.DecodeString(storedExample)
	require.NoError(t, err)
	records, err := decodeRecords(payload)
	require.NoError(t, err)
	require.Equal(t, []Record{bill(7)}, records)
}

func FuzzDecodeRecords(f *testing.F) {
	for n := range 3 {
		var records []Record
		for i := range n {
			records = append(records, bill(i))
		}
		payload, err := encodeRecords(records)
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Add([]byte{0x03, 0x00})
	f.Fuzz(func(t *testing.T, payload []byte) {
		records, err := decodeRecords(payload)
		if err != nil {
			return
		}
		reencoded, err := encodeRecords(records)
		require.NoError(t, err)
		_, err = decodeRecords(reencoded)
		require.NoError(t, err)
	})
}
