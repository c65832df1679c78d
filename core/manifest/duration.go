package manifest

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is encoded as text with a unit: "500ms", "2h".
type Duration time.Duration

// String returns d as time.Duration formats it.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes d as text with units.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON decodes the output of MarshalJSON. The error is a
// *json.UnmarshalTypeError or the one of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
