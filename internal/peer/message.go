package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
)

// MaxMessage bounds the bytes of one message.
const MaxMessage = 64 << 20

func readMessage(r io.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessage}
	return options.UnmarshalFrom(bufio.NewReader(r), message)
}

// pieceBytes is the most that is written at once. What is written at once is one frame,
// which a connection carries and hands on as a whole: over a link of 10 Mbit/s 16 KiB hold
// up other calls of the connection for 13 ms, where a frame of 1 MiB does for 0.8 s.
const pieceBytes = 16 << 10

func writeMessage(w io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(pieceWriter{w}, message)
	return err
}

// pieceWriter writes in pieces.
type pieceWriter struct{ target io.Writer }

// Write implements io.Writer.
func (w pieceWriter) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		end := min(written+pieceBytes, len(content))
		count, err := w.target.Write(content[written:end])
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func toFault(err error) *peerpb.Fault {
	listed := fault.From(err)
	return &peerpb.Fault{Kind: string(listed.Kind), Field: listed.Field, Detail: listed.Detail, Outcome: string(listed.Outcome)}
}

func fromFault(f *peerpb.Fault) *fault.Error {
	return &fault.Error{Kind: fault.Kind(f.Kind), Field: f.Field, Detail: f.Detail, Outcome: fault.Outcome(f.Outcome)}
}
