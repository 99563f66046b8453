package entry

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestSettingsDump checks that the settings can be encoded.
func TestSettingsDump(t *testing.T) {
	is := is.New(t)
	b, err := json.Marshal(Settings{CallerAddress: "10.0.0.1:80"})
	is.NoErr(err)
	var out map[string]any
	is.NoErr(json.Unmarshal(b, &out))
	is.Equal(out["CallerAddress"], "10.0.0.1:80")
}
