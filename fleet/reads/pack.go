package reads

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/cicadatack/cicadatack/fleet/reads/readspb"
)

// maxContentBytes bounds what an answer may hold: some times what 10,000 replicas take.
const maxContentBytes = 32 << 20

// pack encodes what an answer holds. Entries of replicas are alike, and a small VM's link
// carries some megabytes a second.
func pack(content *readspb.Content) ([]byte, error) {
	plain, err := proto.Marshal(content)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return packed.Bytes(), nil
}

// unpack decodes what pack encoded. It fails if that is damaged or too large.
func unpack(packed []byte) (*readspb.Content, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxContentBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(plain) > maxContentBytes {
		return nil, Error.New("an answer holds more than %d bytes", maxContentBytes)
	}
	content := &readspb.Content{}
	if err := proto.Unmarshal(plain, content); err != nil {
		return nil, Error.Wrap(err)
	}
	return content, nil
}
