// Package operator reads the operator file (TOML): the settings that on-call staff may change, in addition to
// the deployment's configuration. It defines the file's keys, their ranges and defaults; deploy/operator.toml
// lists them all.
//
// To add a table, add a struct type with tagged fields, a field for it in File, its defaults in Default and
// its lines in deploy/operator.toml. Reading, range checks and error texts follow from the tags. Some keys
// are older than the terms in the code: a tag has the file's key, the Go name has the current term.
//
// The package keeps no state and starts no goroutine; a File is a plain value.
package operator

// File is the content of the operator file. The toml tag is a field's key. Its value must be between min and
// max, in the unit of the key's suffix: _ms milliseconds, _s seconds, _kb KiB.
type File struct {
	Bodies   Bodies   `toml:"answers"`
	Log      Log      `toml:"log"`
	Overload Overload `toml:"storm"`
	GraphQL  GraphQL  `toml:"graphql"`
	State    State    `toml:"state"`
	Fleet    Fleet    `toml:"fleet"`
}

// Default returns the default settings, which apply without a file and to keys that a file omits.
func Default() File {
	return File{
		Bodies: defaultBodies(), Log: defaultLog(), Overload: defaultOverload(),
		GraphQL: defaultGraphQL(), State: defaultState(), Fleet: defaultFleet(),
	}
}
