package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
)

// maxMessageBytes limits the size of a message.
const maxMessageBytes = 64 << 20

func readMessage(r io.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(bufio.NewReader(r), message)
}

// chunkBytes limits the size of a write. yamux sends each write as one frame, and large frames
// delay other calls on the connection. At 10 Mbit/s, 16 KiB take 13 ms and 1 MiB takes 0.8 s.
const chunkBytes = 16 << 10

func writeMessage(w io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(chunkWriter{w}, message)
	return err
}

// chunkWriter splits writes into chunks of chunkBytes.
type chunkWriter struct{ target io.Writer }

// Write implements io.Writer.
func (w chunkWriter) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		end := min(written+chunkBytes, len(content))
		count, err := w.target.Write(content[written:end])
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func toFault(err error) *peerpb.Fault {
	failure := fault.From(err)
	return &peerpb.Fault{Kind: string(failure.Kind), Field: failure.Field, Detail: failure.Detail, Outcome: string(failure.Outcome)}
}

func fromFault(f *peerpb.Fault) *fault.Error {
	return &fault.Error{Kind: fault.Kind(f.Kind), Field: f.Field, Detail: f.Detail, Outcome: fault.Outcome(f.Outcome)}
}
