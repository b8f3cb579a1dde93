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

// ConfigProblem is one problem of a configuration file.
type ConfigProblem struct {
	Line, Column int // from 1
	Text         string
}

func (p ConfigProblem) String() string { return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Text) }

// configError is a value that can't be used, by its path in the file.
type configError struct {
	path string
	err  error
}

// maxProblems bounds the problems that are reported of a file that is no configuration at all.
const maxProblems = 50

// CheckConfig returns every problem of a configuration file, in the order of the file. If there is none,
// validate checks the configuration, and returns a further problem with its key.
func CheckConfig(raw []byte, validate func(Config) (key string, err error)) []ConfigProblem {
	places, err := findValues(raw)
	if err != nil {
		return []ConfigProblem{syntaxProblem(raw, err)}
	}
	var all []ConfigProblem
	// paths of values of the wrong type: each ends a decoding, which is repeated without it
	var mistyped []string
	text, current := raw, places
	c, errs, err := decodeConfig(text)
	for len(mistyped) < maxProblems {
		v, kind, found := current.findMistyped(err, errs)
		if !found {
			break
		}
		mistyped = append(mistyped, v.path)
		typeErr := fmt.Errorf("config: %s: must not be of type %s", v.path, kind)
		all = append(all, places.problem(raw, v.path, typeErr))
		text = slices.Concat(text[:v.start], []byte("null"), text[v.end:])
		if current, err = findValues(text); err != nil {
			break
		}
		c, errs, err = decodeConfig(text)
	}
	if err != nil {
		all = append(all, ConfigProblem{1, 1, err.Error()})
	}
	for _, w := range errs {
		isBelow := func(path string) bool { return strings.HasPrefix(path, w.path) }
		if !slices.ContainsFunc(mistyped, isBelow) {
			all = append(all, places.problem(raw, w.path, w.err))
		}
	}
	if len(all) == 0 {
		if key, validateErr := validate(c); validateErr != nil {
			all = append(all, places.problem(raw, key, validateErr))
		}
	}
	slices.SortStableFunc(all, func(a, b ConfigProblem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return all
}

// findMistyped finds the value that an error, or one of a part of the file, says to be of the wrong type.
func (p valuePlaces) findMistyped(err error, errs []configError) (v valuePlace, kind string, found bool) {
	var m *json.UnmarshalTypeError
	if errors.As(err, &m) {
		return p.at(m.Offset), m.Value, true
	}
	for _, w := range errs {
		if errors.As(w.err, &m) { // counted from the part's own beginning
			for _, part := range p {
				if part.path == w.path {
					return p.at(m.Offset + int64(part.start)), m.Value, true
				}
			}
		}
	}
	return v, "", false
}

// syntaxProblem is the position at which a text ceases to be JSON.
func syntaxProblem(raw []byte, err error) ConfigProblem {
	at := len(raw)
	if s := (*json.SyntaxError)(nil); errors.As(err, &s) {
		at = int(s.Offset) - 1
	}
	line, column := positionOf(raw, at)
	return ConfigProblem{line, column, "config: " + err.Error()}
}

// positionOf is the line and column of an offset, from 1.
func positionOf(raw []byte, at int) (line, column int) {
	at = min(max(at, 0), len(raw))
	before := raw[:at]
	return 1 + bytes.Count(before, []byte("\n")), at - bytes.LastIndexByte(before, '\n')
}

// valuePlace is the position of a value in a text, with its path, such as settings.bounds.connIdle or
// peers[1].
type valuePlace struct {
	path       string
	start, end int
}

type valuePlaces []valuePlace

// at is the innermost value that contains an offset or ends at it.
func (p valuePlaces) at(offset int64) (v valuePlace) {
	for _, w := range p {
		inside := int64(w.start) < offset && offset <= int64(w.end)
		if inside && (v.end == 0 || w.end-w.start <= v.end-v.start) {
			v = w
		}
	}
	return v
}

// problem is a problem with the value of a path or, if there is none, with the nearest value that contains
// it.
func (p valuePlaces) problem(raw []byte, path string, err error) ConfigProblem {
	for {
		for _, v := range p {
			if strings.EqualFold(v.path, path) {
				line, column := positionOf(raw, v.start)
				return ConfigProblem{line, column, err.Error()}
			}
		}
		if path == "" {
			return ConfigProblem{1, 1, err.Error()}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// maxNesting is how many levels of nesting a configuration may have.
const maxNesting = 64

// findValues returns the positions of all values of a text.
func findValues(raw []byte) (valuePlaces, error) {
	var all json.RawMessage
	if err := json.Unmarshal(raw, &all); err != nil { // checks all of it, unlike the decoder below
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var places valuePlaces
	err := places.addValue(raw, d, "", 0)
	return places, err
}

// addValue appends the next value of a decoder with all values in it.
func (p *valuePlaces) addValue(raw []byte, d *json.Decoder, path string, depth int) error {
	from := int(d.InputOffset())
	for from < len(raw) && bytes.IndexByte([]byte(" \t\r\n:,"), raw[from]) >= 0 {
		from++
	}
	token, err := d.Token()
	if err == nil && depth > maxNesting {
		err = errors.New("nested too deep")
	}
	if err != nil {
		return err
	}
	n := len(*p)
	*p = append(*p, valuePlace{path: path, start: from})
	if open, is := token.(json.Delim); is {
		for i := 0; d.More() && err == nil; i++ {
			childPath := fmt.Sprintf("%s[%d]", path, i)
			if open == '{' {
				var key json.Token
				key, err = d.Token()
				childPath = strings.TrimPrefix(fmt.Sprint(path, ".", key), ".")
			}
			if err == nil {
				err = p.addValue(raw, d, childPath, depth+1)
			}
		}
		if err == nil {
			_, err = d.Token()
		}
	}
	(*p)[n].end = int(d.InputOffset())
	return err
}
