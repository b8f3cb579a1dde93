package operator

import "slices"

// The values of Log.Format.
const (
	// FormatText writes a line of name=value pairs for each event.
	FormatText = "text"
	// FormatJSON writes a JSON object for each event.
	FormatJSON = "json"
)

// Log is the table "log": format and level of the log.
type Log struct {
	// Format is FormatText or FormatJSON.
	Format string `toml:"format"`
	// Level is the minimum level of logged events: debug, info, warn or error.
	Level string `toml:"level"`
}

func defaultLog() Log { return Log{Format: FormatText, Level: "info"} }

// check returns the first key with a value that is not allowed, and its requirement; empty strings if there
// is none.
func (l Log) check() (key, problem string) {
	if l.Format != FormatText && l.Format != FormatJSON {
		return "format", "must be text or json"
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, l.Level) {
		return "level", "must be debug, info, warn or error"
	}
	return "", ""
}
