package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// strictJSON refuses unknown fields, so that a misspelt fault is not taken for no fault.
func strictJSON(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("malformed JSON: %w", err)
	}
	return nil
}
