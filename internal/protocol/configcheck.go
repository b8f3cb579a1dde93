package protocol

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ConfigProblem is one thing that is wrong with a configuration file.
type ConfigProblem struct {
	Line, Column int // from 1
	Text         string
}

func (p ConfigProblem) String() string { return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Text) }

// wrong is a value that can't be used, by its path in the file.
type configError struct {
	path string
	err  error
}

// maxProblems are told of a file. Guards against a file that is not a configuration at all.
const maxProblems = 50

// CheckConfig tells all that is wrong with a configuration file, in the order of the file. Further looks at
// what could be read, and tells by which key a further problem is.
func CheckConfig(raw []byte, further func(Config) (key string, err error)) []ConfigProblem {
	places, err := findValues(raw)
	if err != nil {
		return []ConfigProblem{syntaxProblem(raw, err)}
	}
	var all []ConfigProblem
	var odd []string // values of the wrong type, of which each ends a reading: it goes on without them
	text, now := raw, places
	c, errs, err := decodeConfig(text)
	for len(odd) < maxProblems {
		v, kind, found := now.mistyped(err, errs)
		if !found {
			break
		}
		odd = append(odd, v.path)
		why := fmt.Errorf("config: %s: must not be of type %s", v.path, kind)
		all = append(all, places.problem(raw, v.path, why))
		text = slices.Concat(text[:v.from], []byte("null"), text[v.to:])
		if now, err = findValues(text); err != nil {
			break
		}
		c, errs, err = decodeConfig(text)
	}
	if err != nil {
		all = append(all, ConfigProblem{1, 1, err.Error()})
	}
	for _, w := range errs {
		follows := func(path string) bool { return strings.HasPrefix(path, w.path) }
		if !slices.ContainsFunc(odd, follows) {
			all = append(all, places.problem(raw, w.path, w.err))
		}
	}
	if len(all) == 0 {
		if key, err := further(c); err != nil {
			all = append(all, places.problem(raw, key, err))
		}
	}
	slices.SortStableFunc(all, func(a, b ConfigProblem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return all
}

// mistyped finds the value that a reading's error, or one of a part's, says to be of the wrong type.
func (p valuePlaces) mistyped(err error, errs []configError) (v valuePlace, kind string, found bool) {
	var m *json.UnmarshalTypeError
	if errors.As(err, &m) {
		return p.at(m.Offset), m.Value, true
	}
	for _, w := range errs {
		if errors.As(w.err, &m) { // counted from the part's own beginning
			for _, part := range p {
				if part.path == w.path {
					return p.at(m.Offset + int64(part.from)), m.Value, true
				}
			}
		}
	}
	return v, "", false
}

// syntaxProblem is where a text ceases to be JSON.
func syntaxProblem(raw []byte, err error) ConfigProblem {
	at := len(raw)
	if s := (*json.SyntaxError)(nil); errors.As(err, &s) {
		at = int(s.Offset) - 1
	}
	line, column := lineOf(raw, at)
	return ConfigProblem{line, column, "config: " + err.Error()}
}

func lineOf(raw []byte, at int) (line, column int) {
	at = min(max(at, 0), len(raw))
	before := raw[:at]
	return 1 + bytes.Count(before, []byte("\n")), at - bytes.LastIndexByte(before, '\n')
}

// valuePlace is where a value stands in a text, with its path, as settings.bounds.connIdle or peers[1].
type valuePlace struct {
	path     string
	from, to int
}

type valuePlaces []valuePlace

// at is the innermost value that an offset lies in or just after.
func (p valuePlaces) at(offset int64) (v valuePlace) {
	for _, w := range p {
		inside := int64(w.from) < offset && offset <= int64(w.to)
		if inside && (v.to == 0 || w.to-w.from <= v.to-v.from) {
			v = w
		}
	}
	return v
}

// problem is a problem with the value of a path, or with what is nearest round it.
func (p valuePlaces) problem(raw []byte, path string, err error) ConfigProblem {
	for {
		for _, v := range p {
			if strings.EqualFold(v.path, path) {
				line, column := lineOf(raw, v.from)
				return ConfigProblem{line, column, err.Error()}
			}
		}
		if path == "" {
			return ConfigProblem{1, 1, err.Error()}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

const deepest = 64 // levels of a configuration that are gone into

// findValues notes where the values of a text stand.
func findValues(raw []byte) (valuePlaces, error) {
	var whole json.RawMessage
	if err := json.Unmarshal(raw, &whole); err != nil { // checks all of it, unlike the decoder below
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var places valuePlaces
	err := places.value(raw, d, "", 0)
	return places, err
}

func (p *valuePlaces) value(raw []byte, d *json.Decoder, path string, depth int) error {
	from := int(d.InputOffset())
	for from < len(raw) && bytes.IndexByte([]byte(" \t\r\n:,"), raw[from]) >= 0 {
		from++
	}
	token, err := d.Token()
	if err == nil && depth > deepest {
		err = errors.New("nested too deep")
	}
	if err != nil {
		return err
	}
	n := len(*p)
	*p = append(*p, valuePlace{path: path, from: from})
	if open, is := token.(json.Delim); is {
		for i := 0; d.More() && err == nil; i++ {
			below := fmt.Sprintf("%s[%d]", path, i)
			if open == '{' {
				var key json.Token
				key, err = d.Token()
				below = strings.TrimPrefix(fmt.Sprint(path, ".", key), ".")
			}
			if err == nil {
				err = p.value(raw, d, below, depth+1)
			}
		}
		if err == nil {
			_, err = d.Token()
		}
	}
	(*p)[n].to = int(d.InputOffset())
	return err
}
