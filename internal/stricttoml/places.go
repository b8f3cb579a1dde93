package stricttoml

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// places is where in a document each key stands, by its path.
type places struct {
	offsets map[string]int
	lines   []int // where each line begins
}

// maxPath is how many bytes the path of a key may have to be noted; what lies below is placed at the table
// round it. Guards against a key of a hundred thousand parts, and a long-named table of as many keys, whose
// paths would not fit into memory.
const maxPath = 200

// findKeys notes where the keys of a document stand, which is known to be well formed.
func findKeys(data []byte) places {
	p := places{offsets: map[string]int{}, lines: []int{0}}
	for i, c := range data {
		if c == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
	var parser unstable.Parser
	parser.Reset(data)
	entries := map[string]int{} // of arrays of tables
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = p.header(e, entries)
		case unstable.KeyValue:
			p.keyValue(table, e)
		}
	}
	return p
}

// header notes a table's header and returns the table's path.
func (p *places) header(e *unstable.Node, entries map[string]int) (path string) {
	for keys := e.Key(); keys.Next(); {
		path = below(path, string(keys.Node().Data))
		p.note(path, keys.Node())
		switch n, isArray := entries[path]; {
		case keys.IsLast() && e.Kind == unstable.ArrayTable:
			entries[path] = n + 1
			path = entry(path, n)
			p.note(path, keys.Node())
		case isArray:
			path = entry(path, n-1)
		}
	}
	return path
}

func (p *places) keyValue(path string, e *unstable.Node) {
	for keys := e.Key(); keys.Next(); {
		path = below(path, string(keys.Node().Data))
		p.note(path, keys.Node())
	}
	p.value(path, e.Value())
}

// value goes into inline tables and arrays of them.
func (p *places) value(path string, v *unstable.Node) {
	switch {
	case len(path) > maxPath:
	case v.Kind == unstable.InlineTable:
		for children := v.Children(); children.Next(); {
			p.keyValue(path, children.Node())
		}
	case v.Kind == unstable.Array:
		i := 0
		for children := v.Children(); children.Next(); i++ {
			p.value(entry(path, i), children.Node())
		}
	}
}

func (p *places) note(path string, key *unstable.Node) {
	if _, known := p.offsets[path]; !known && len(path) <= maxPath {
		p.offsets[path] = int(key.Raw.Offset)
	}
}

// find returns the line and column of a key, or of the nearest table round it; zeros where there is none.
func (p places) find(path string) (line, column int) {
	for path != "" {
		if at, ok := p.offsets[path]; ok {
			line, _ = slices.BinarySearch(p.lines, at+1)
			return line, at - p.lines[line-1] + 1
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0, 0
}

// below is the path of a key in a table. What is below a path that is too long has the same.
func below(path, key string) string {
	if key == "" {
		key = `""`
	}
	switch {
	case path == "":
		return key
	case len(path) > maxPath:
		return path
	}
	return path + "." + key
}

// entry is the path of an array's entry.
func entry(path string, i int) string {
	if len(path) > maxPath {
		return path
	}
	return fmt.Sprintf("%s[%d]", path, i)
}
