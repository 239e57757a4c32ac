package peer

import (
	"bufio"
	"reflect"
)

// purpose returns the name under which a message is counted in the traffic metrics.
func purpose(m Message) string { return purposes[reflect.TypeOf(m)] }

// countingReader counts the bytes that a decoder reads, and limits its frames. It embeds a bufio.Reader and so is an
// io.ByteReader, which keeps the decoder from buffering ahead and counting bytes of the next message.
type countingReader struct {
	*bufio.Reader
	frames    frameScanner
	bytesRead int
}

// Read reads into b and counts the bytes.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.bytesRead += n
	if limitErr := r.frames.scan(b[:n]); limitErr != nil {
		return 0, limitErr // io.ReadFull, by which the decoder reads a length, ignores the error of a complete read
	}
	return n, err
}

// ReadByte reads one byte and counts it.
func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err != nil {
		return b, err
	}
	r.bytesRead++
	return b, r.frames.scan([]byte{b})
}

// takeCount returns the bytes read since the previous call.
func (r *countingReader) takeCount() int {
	n := r.bytesRead
	r.bytesRead = 0
	return n
}

// countingWriter counts the bytes that an encoder writes.
type countingWriter struct {
	*bufio.Writer
	bytesWritten int
}

// Write writes b and counts the bytes.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.bytesWritten += n
	return n, err
}

// takeCount returns the bytes written since the previous call.
func (w *countingWriter) takeCount() int {
	n := w.bytesWritten
	w.bytesWritten = 0
	return n
}
