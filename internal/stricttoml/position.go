package stricttoml

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyPositions has the position of each key in a document by path.
type keyPositions struct {
	offsets    map[string]int // byte offset of each key by path
	lineStarts []int          // byte offset of each line
}

// maxPathBytes is the maximum length of the path of a key whose position is recorded. A problem below a
// longer path gets the position of the enclosing table. Without the limit, the memory for paths could grow
// with the square of a document's size.
const maxPathBytes = 200

// findKeyPositions returns the positions of the keys in a document, which must be valid TOML.
func findKeyPositions(data []byte) keyPositions {
	p := keyPositions{offsets: map[string]int{}, lineStarts: []int{0}}
	for i, c := range data {
		if c == '\n' {
			p.lineStarts = append(p.lineStarts, i+1)
		}
	}
	var parser unstable.Parser
	parser.Reset(data)
	entries := map[string]int{} // number of entries so far in each array of tables
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = p.addHeader(e, entries)
		case unstable.KeyValue:
			p.addKeyValue(table, e)
		}
	}
	return p
}

// addHeader records the keys in a table's header and returns the table's path.
func (p *keyPositions) addHeader(e *unstable.Node, entries map[string]int) (path string) {
	for keys := e.Key(); keys.Next(); {
		path = keyPath(path, string(keys.Node().Data))
		p.add(path, keys.Node())
		switch n, isArray := entries[path]; {
		case keys.IsLast() && e.Kind == unstable.ArrayTable:
			entries[path] = n + 1
			path = entryPath(path, n)
			p.add(path, keys.Node())
		case isArray:
			path = entryPath(path, n-1)
		}
	}
	return path
}

// addKeyValue records a key, which may be dotted, and the keys in its value.
func (p *keyPositions) addKeyValue(path string, e *unstable.Node) {
	for keys := e.Key(); keys.Next(); {
		path = keyPath(path, string(keys.Node().Data))
		p.add(path, keys.Node())
	}
	p.addNested(path, e.Value())
}

// addNested records the keys in inline tables and in arrays of them.
func (p *keyPositions) addNested(path string, v *unstable.Node) {
	switch {
	case len(path) > maxPathBytes:
	case v.Kind == unstable.InlineTable:
		for children := v.Children(); children.Next(); {
			p.addKeyValue(path, children.Node())
		}
	case v.Kind == unstable.Array:
		i := 0
		for children := v.Children(); children.Next(); i++ {
			p.addNested(entryPath(path, i), children.Node())
		}
	}
}

// add records the position of a key's first occurrence.
func (p *keyPositions) add(path string, key *unstable.Node) {
	if _, known := p.offsets[path]; !known && len(path) <= maxPathBytes {
		p.offsets[path] = int(key.Raw.Offset)
	}
}

// find returns the line and column of a key or of the innermost enclosing table with a position, or zeros if
// there is none.
func (p keyPositions) find(path string) (line, column int) {
	for path != "" {
		if at, ok := p.offsets[path]; ok {
			line, _ = slices.BinarySearch(p.lineStarts, at+1)
			return line, at - p.lineStarts[line-1] + 1
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0, 0
}

// keyPath returns the path of a key in a table. If the table's path is too long, it returns that path
// unchanged.
func keyPath(path, key string) string {
	if key == "" {
		key = `""`
	}
	switch {
	case path == "":
		return key
	case len(path) > maxPathBytes:
		return path
	}
	return path + "." + key
}

// entryPath returns the path of an array's entry. If the array's path is too long, it returns that path
// unchanged.
func entryPath(path string, i int) string {
	if len(path) > maxPathBytes {
		return path
	}
	return fmt.Sprintf("%s[%d]", path, i)
}
