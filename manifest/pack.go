package manifest

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/flate"
)

// Pack compresses a document or the steps of a patch. The result is the
// uncompressed length as a varint, followed by a deflate stream. Pack uses
// stateless deflate because documents are rare and memory is scarce: an ordinary
// compressor would retain most of a MiB between documents.
func Pack(raw []byte) []byte {
	var packed bytes.Buffer
	packed.Write(binary.AppendUvarint(nil, uint64(len(raw))))
	if err := flate.StatelessDeflate(&packed, raw, true, nil); err != nil {
		panic(err) // a write to a bytes.Buffer never fails
	}
	return packed.Bytes()
}

// Unpack reverses Pack. It returns an error if the contents exceed limit bytes or
// differ from the declared length, or if data follows the deflate stream.
func Unpack(packed []byte, limit int) ([]byte, error) {
	size, n := binary.Uvarint(packed)
	if n <= 0 {
		return nil, errors.New("unpack: missing length prefix")
	}
	if limit < 0 || size > uint64(limit) {
		return nil, errors.Errorf("unpack: length of %d bytes exceeds the limit of %d", size, limit)
	}
	compressed := bytes.NewReader(packed[n:])
	inflater := flate.NewReader(compressed)
	// The buffer grows with the data received, not with the declared length.
	raw, err := io.ReadAll(io.LimitReader(inflater, int64(size)+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if uint64(len(raw)) != size || compressed.Len() > 0 {
		return nil, errors.Errorf("unpack: contents do not match the declared length of %d bytes", size)
	}
	return raw, nil
}
