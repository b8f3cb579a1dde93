// Package operator reads the operator file (TOML): what on-call staff may set for this program, beside the
// deployment's configuration. It owns the file's keys, their ranges and defaults; deploy/operator.toml
// shows them all.
//
// A new table is a struct type with tagged fields, a field for it in File, its defaults in Default and its
// lines in deploy/operator.toml. Reading, range checks and error texts follow from the tags. The keys are
// older than the code's terms: a tag gives the file's key, the Go name gives the term.
//
// The package keeps no state and starts no goroutine; a File is a plain value.
package operator

// File is the content of the operator file. A key is named by its toml tag and lies between min and max, in
// the unit of the key's suffix: _ms milliseconds, _s seconds, _kb KiB.
type File struct {
	Bodies   Bodies   `toml:"answers"`
	Log      Log      `toml:"log"`
	Overload Overload `toml:"storm"`
	GraphQL  GraphQL  `toml:"graphql"`
	State    State    `toml:"state"`
	Fleet    Fleet    `toml:"fleet"`
}

// Default returns the settings without a file; a key that a file leaves out has its value from here.
func Default() File {
	return File{
		Bodies: defaultBodies(), Log: defaultLog(), Overload: defaultOverload(),
		GraphQL: defaultGraphQL(), State: defaultState(), Fleet: defaultFleet(),
	}
}
