package grpcrelay

import "google.golang.org/protobuf/proto"

// maxChunkBytes bounds the size of a message, unless a single element is larger. The
// receiver detects a silent sender by missing messages: at 10 Mbit/s a message of this
// size takes 50 ms, a third of the interval between two checks. It is also far below
// the 4 MB that gRPC accepts.
const maxChunkBytes = 64 << 10

// sendInChunks sends a batch in one or more messages of bounded size. An empty batch
// is sent as one empty message.
func sendInChunks[T proto.Message](batch []T, send func([]T) error) error {
	begin, size := 0, 0
	for i, part := range batch {
		bytes := proto.Size(part)
		if i > begin && size+bytes > maxChunkBytes {
			if err := send(batch[begin:i]); err != nil {
				return err
			}
			begin, size = i, 0
		}
		size += bytes
	}
	return send(batch[begin:])
}
