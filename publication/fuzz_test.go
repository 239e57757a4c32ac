package publication

import (
	"reflect"
	"testing"
)

// Guards against stored heads that crash an entry VM or that no publisher can have written.
func FuzzDecodeHead(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := DecodeHead(data)
		if err != nil {
			return
		}
		encoded, err := head.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeHead(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if !again.Time.Equal(head.Time) {
			t.Fatalf("time %v became %v", head.Time, again.Time)
		}
		if !reflect.DeepEqual(again.referencedKeys(), head.referencedKeys()) || len(head.Records()) > MaxHistory+1 {
			t.Fatalf("head %+v became %+v", head, again)
		}
	})
}
