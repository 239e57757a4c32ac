package peer

import (
	"errors"
	"fmt"
)

const (
	// maxHelloFrame limits a frame before the Hello, which has some hundred bytes and is preceded by the descriptions of its types.
	maxHelloFrame = 4 << 10
	// maxFrame limits a frame. A copy of all keys of the largest deployment, 540 workers and some thousand durable jobs, has
	// about 2 MB.
	maxFrame = 8 << 20
	// freeFrame is the size up to which a frame needs no reservation; all messages but copies and long lists are below it.
	freeFrame = 64 << 10
)

var (
	// ErrFrameTooLong is the reason for closing a connection on which a longer message is announced than any VM sends.
	ErrFrameTooLong = errors.New("message is too long")
	// ErrNoMemory is the reason for closing a connection whose message exceeds the memory for messages.
	ErrNoMemory = errors.New("no memory for a message")
)

// frameScanner follows the frames of a gob stream: the length as an unsigned integer, then as many bytes. It reports an
// error as soon as a length is known that exceeds the limit, before the decoder allocates memory for it.
type frameScanner struct {
	limit   int                   // maximum length of a frame
	reserve func(bytes int) error // is called for frames above freeFrame; nil for no limit
	left    int                   // bytes of the present frame that are still to come
	width   int                   // bytes of the length that are still to come
	length  uint64
}

// scan follows the bytes that were read.
func (f *frameScanner) scan(b []byte) error {
	for len(b) > 0 {
		if f.left > 0 {
			n := min(f.left, len(b))
			f.left -= n
			b = b[n:]
			continue
		}
		first := b[0]
		b = b[1:]
		switch {
		case f.width > 0:
			f.length = f.length<<8 | uint64(first)
			f.width--
		case first <= 0x7f: // gob encodes larger numbers as the negated count of their bytes, then the bytes
			f.length = uint64(first)
		default:
			f.length, f.width = 0, -int(int8(first))
		}
		if f.width > 8 {
			return fmt.Errorf("%w: its length has %d bytes", ErrFrameTooLong, f.width)
		}
		if f.width > 0 {
			continue
		}
		if f.length > uint64(f.limit) {
			return fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrFrameTooLong, f.length, f.limit)
		}
		f.left = int(f.length)
		if f.left > freeFrame && f.reserve != nil {
			if err := f.reserve(f.left); err != nil {
				return err
			}
		}
	}
	return nil
}
