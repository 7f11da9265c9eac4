package jsontext

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

// FuzzAppend: the output is valid JSON by the standard library, and parsing it and writing it again gives
// the same text.
func FuzzAppend(f *testing.F) {
	for _, text := range []string{
		`{"a":[1,1.50,-0,1e400,"x\u0011\u0007\u000b\n\t\r\"\\\/é\ud83d\ude00",null,true,false,{}],"\u0001":{"b":[]}}`, `"\ud800"`, `12345678901234567890`, "\"\xff\"", `{"a":1,"a":2}`,
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		v, err := fastjson.Parse(text)
		if err != nil || !json.Valid([]byte(text)) { // fastjson accepts some texts that the standard library rejects
			return
		}
		out := Append(nil, v)
		require.True(t, json.Valid(out), "%q", out)
		again, err := fastjson.ParseBytes(out)
		require.NoError(t, err)
		require.Equal(t, string(out), string(Append(nil, again)))
	})
}

// TestAppend: control characters, which MarshalTo writes wrongly, are escaped as JSON requires, and numbers
// keep their text.
func TestAppend(t *testing.T) {
	v, err := fastjson.Parse(`{"k\u0011":"\u0007\u001f\n\"","n":[1.50,1e9,12345678901234567890]}`)
	require.NoError(t, err)
	require.Equal(t, `{"k\u0011":"\u0007\u001f\n\"","n":[1.50,1e9,12345678901234567890]}`, string(Append(nil, v)))
	require.False(t, json.Valid(v.MarshalTo(nil)), "MarshalTo writes valid JSON now: remove this package")
}
