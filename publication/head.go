package publication

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
	"unicode"
	"unicode/utf8"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/store"
)

// HeadKey is the key of the head record.
const HeadKey = "samphireplank/head"

const (
	// MaxHistory is the maximum number of earlier records in the head.
	MaxHistory = 64
	// MaxAuthor is the maximum length of an author in bytes.
	MaxAuthor = 128
	// MaxReason is the maximum length of a reason in bytes.
	MaxReason = 512
	maxID     = 64
)

// SetKey returns the store key of the set with the digest.
func SetKey(digest contract.Digest) string {
	return "samphireplank/set/" + string(digest)
}

// PatchKey returns the store key of the patch between two sets.
func PatchKey(from, to contract.Digest) string {
	return "samphireplank/change/" + string(from) + "/" + string(to)
}

// Record describes one publication of a set.
type Record struct {
	Generation uint64          `json:"generation"` // 1 for the first publication, 0 for none
	Digest     contract.Digest `json:"digest"`
	Author     string          `json:"author"`
	Time       time.Time       `json:"time"`
	Reason     string          `json:"reason"`
	PublishID  string          `json:"publish-id"`
}

// Head is the active record with the records before it, newest first.
type Head struct {
	Record
	History        []Record `json:"history"`
	PendingDeletes []string `json:"retired"` // obsolete keys that may still exist in the store
}

// Encode returns the JSON form of the head.
func (h Head) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return data, nil
}

// DecodeHead parses the JSON form of a head and returns an error for one that no publisher can have written.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&head); err != nil {
		return Head{}, fmt.Errorf("decode head: %w", err)
	}
	if decoder.More() {
		return Head{}, errors.New("decode head: trailing data after the record")
	}
	if err := head.check(); err != nil {
		return Head{}, fmt.Errorf("decode head: %w", err)
	}
	return head, nil
}

func (h Head) check() error {
	if len(h.History) > MaxHistory || len(h.PendingDeletes) > maxPendingDeletes {
		return fmt.Errorf("%d earlier records and %d keys to delete, at most %d and %d are allowed",
			len(h.History), len(h.PendingDeletes), MaxHistory, maxPendingDeletes)
	}
	expected := h.Generation
	for _, r := range h.Records() {
		if r.Generation != expected {
			return fmt.Errorf("unexpected generation %d, want %d", r.Generation, expected)
		}
		if err := r.check(); err != nil {
			return fmt.Errorf("generation %d: %w", r.Generation, err)
		}
		expected--
	}
	return nil
}

func (r Record) check() error {
	if r.Generation == 0 {
		return errors.New("generation 0 is not a publication")
	}
	if !r.Digest.Valid() {
		return fmt.Errorf("digest %q is not valid", r.Digest)
	}
	if r.PublishID == "" || len(r.PublishID) > maxID {
		return fmt.Errorf("publish id has %d bytes, 1 to %d are allowed", len(r.PublishID), maxID)
	}
	if err := checkText("author", r.Author, MaxAuthor); err != nil {
		return err
	}
	return checkText("reason", r.Reason, MaxReason)
}

// checkText returns an error unless the text is one line of printable UTF-8 of 1 to maxLength bytes.
func checkText(name, text string, maxLength int) error {
	if text == "" || len(text) > maxLength {
		return fmt.Errorf("%s has %d bytes, 1 to %d are allowed", name, len(text), maxLength)
	}
	if !utf8.ValidString(text) {
		return fmt.Errorf("%s %q is not valid UTF-8", name, text)
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return fmt.Errorf("%s %q contains an unprintable character", name, text)
		}
	}
	return nil
}

// Records returns the active record and the ones before it, newest first.
func (h Head) Records() []Record {
	return append([]Record{h.Record}, h.History...)
}

// find returns the record with the publish ID and whether there is one.
func (h Head) find(publishID string) (Record, bool) {
	for _, r := range h.Records() {
		if r.PublishID == publishID {
			return r, true
		}
	}
	return Record{}, false
}

// next returns the head after the record is published, with at most maxHistory earlier records and no pending deletes.
func (h Head) next(record Record, maxHistory int) Head {
	if h.Generation == 0 {
		return Head{Record: record, History: []Record{}, PendingDeletes: []string{}}
	}
	history := h.Records()
	history = history[:min(len(history), maxHistory)]
	return Head{Record: record, History: history, PendingDeletes: []string{}}
}

// referencedKeys returns the keys of all sets and patches of the history.
func (h Head) referencedKeys() []string {
	records := h.Records()
	if h.Generation == 0 {
		return nil
	}
	keys := make([]string, 0, 2*len(records))
	for n, r := range records {
		keys = append(keys, SetKey(r.Digest))
		if n+1 < len(records) && records[n+1].Digest != r.Digest {
			keys = append(keys, PatchKey(records[n+1].Digest, r.Digest))
		}
	}
	return keys
}

// ReadHead returns the head and its version in the store; before the first publication both are zero.
func ReadHead(ctx context.Context, kv store.Store) (Head, uint64, error) {
	value, err := kv.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, fmt.Errorf("read head: %w", err)
	}
	head, err := DecodeHead(value.Data)
	return head, value.Version, err
}

// WatchHead waits until the version of the head differs from the given one and returns the head with its version.
// It returns a head of generation 0 with the given version if the wait ends first, and with version 0 if the head
// does not exist.
func WatchHead(ctx context.Context, kv store.Store, version uint64) (Head, uint64, error) {
	value, err := kv.Watch(ctx, HeadKey, version)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return Head{}, 0, nil
	case err != nil:
		return Head{}, 0, fmt.Errorf("watch head: %w", err)
	case value.Version == 0, value.Version == version:
		return Head{}, value.Version, nil
	}
	head, err := DecodeHead(value.Data)
	return head, value.Version, err
}
