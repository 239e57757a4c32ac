package peer

import (
	"bufio"
	"reflect"
)

// purpose names a message in the counts of traffic.
func purpose(m Message) string { return purposes[reflect.TypeOf(m)] }

// countedReader counts what a decoder takes; it has the methods of a bufio.Reader, so that the decoder adds no buffer.
type countedReader struct {
	*bufio.Reader
	taken int
}

// Read reads and counts.
func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.taken += n
	return n, err
}

// ReadByte reads and counts a byte.
func (r *countedReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.taken++
	}
	return b, err
}

func (r *countedReader) take() int {
	n := r.taken
	r.taken = 0
	return n
}

// countedWriter counts what an encoder writes.
type countedWriter struct {
	*bufio.Writer
	written int
}

// Write writes and counts.
func (w *countedWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.written += n
	return n, err
}

func (w *countedWriter) take() int {
	n := w.written
	w.written = 0
	return n
}
