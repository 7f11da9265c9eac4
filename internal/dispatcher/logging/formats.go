package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"
)

// timeFormat is the format of a line's time, in the zone that the time has.
const timeFormat = time.RFC3339Nano

// appendText appends a line in logfmt. It isn't encoded by a logfmt library, since those quote fewer
// values than these lines do.
func appendText(line []byte, r slog.Record, fields []field) ([]byte, error) {
	if !r.Time.IsZero() {
		line = appendPair(line, timeKey, r.Time.Format(timeFormat))
	}
	line = appendPair(line, levelKey, levelName(r.Level))
	if r.Message != "" {
		line = appendPair(line, messageKey, r.Message)
	}
	for _, f := range fields {
		text, ok := f.value.(string)
		if !ok {
			text = fmt.Sprint(f.value)
		}
		line = appendPair(line, f.key, text)
	}
	return append(line, '\n'), nil
}

// appendPair appends a key and its value.
func appendPair(line []byte, key, value string) []byte {
	if len(line) > 0 {
		line = append(line, ' ')
	}
	line = append(append(line, key...), '=')
	if strings.ContainsFunc(value, needsQuotes) {
		return strconv.AppendQuote(line, value)
	}
	return append(line, value...)
}

// needsQuotes reports whether a value with this character is quoted.
func needsQuotes(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return !strings.ContainsRune("-._/@^+", c)
}

// appendJSON appends a line as a JSON object. A value that JSON can't represent is
// written as text.
func appendJSON(line []byte, r slog.Record, fields []field) ([]byte, error) {
	object := make(map[string]any, len(fields)+3)
	for _, f := range fields {
		object[f.key] = jsonValue(f.value)
	}
	if !r.Time.IsZero() {
		object[timeKey] = r.Time.Format(timeFormat)
	}
	object[levelKey], object[messageKey] = levelName(r.Level), r.Message
	buffer := bytes.NewBuffer(line)
	if err := json.NewEncoder(buffer).Encode(object); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// jsonValue returns what is encoded for a value: the message of an error, the text of a value that JSON
// can't represent, and otherwise the value itself.
func jsonValue(value any) any {
	if err, ok := value.(error); ok {
		return err.Error()
	}
	if _, err := json.Marshal(value); err != nil {
		return fmt.Sprint(value)
	}
	return value
}
