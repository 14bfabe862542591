package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
)

// maxMessageBytes bounds the bytes of one message.
const maxMessageBytes = 64 << 20

func readMessage(r io.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(bufio.NewReader(r), message)
}

// chunkBytes is the most that is written at once. What is written at once is one frame,
// which a connection carries and hands on as a whole: over a link of 10 Mbit/s 16 KiB hold
// up other calls of the connection for 13 ms, where a frame of 1 MiB does for 0.8 s.
const chunkBytes = 16 << 10

func writeMessage(w io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(chunkWriter{w}, message)
	return err
}

// chunkWriter writes in pieces.
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
