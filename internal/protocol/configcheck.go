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

// ConfigProblem is a problem in a configuration file.
type ConfigProblem struct {
	Line, Column int // counted from 1
	Text         string
}

func (p ConfigProblem) String() string { return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Text) }

// configError is an invalid value, identified by its path in the file.
type configError struct {
	path string
	err  error
}

// maxProblems is the maximum number of values of the wrong type that are reported, for files that are no
// configuration at all.
const maxProblems = 50

// CheckConfig returns every problem in a configuration file, ordered by position. If there is none, validate
// checks the decoded configuration and may return one more problem with its key.
func CheckConfig(raw []byte, validate func(Config) (key string, err error)) []ConfigProblem {
	spans, err := findValues(raw)
	if err != nil {
		return []ConfigProblem{syntaxProblem(raw, err)}
	}
	var all []ConfigProblem
	// paths of values of the wrong type: each makes decoding fail, which is repeated without that value
	var mistyped []string
	text, current := raw, spans
	c, errs, err := decodeConfig(text)
	for len(mistyped) < maxProblems {
		v, kind, found := current.findMistyped(err, errs)
		if !found {
			break
		}
		mistyped = append(mistyped, v.path)
		typeErr := fmt.Errorf("config: %s: must not be of type %s", v.path, kind)
		all = append(all, spans.problem(raw, v.path, typeErr))
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
			all = append(all, spans.problem(raw, w.path, w.err))
		}
	}
	if len(all) == 0 {
		if key, validateErr := validate(c); validateErr != nil {
			all = append(all, spans.problem(raw, key, validateErr))
		}
	}
	slices.SortStableFunc(all, func(a, b ConfigProblem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return all
}

// findMistyped returns the value that has the wrong type according to err or to one of errs, and the JSON
// type that it has.
func (p valueSpans) findMistyped(err error, errs []configError) (v valueSpan, kind string, found bool) {
	var m *json.UnmarshalTypeError
	if errors.As(err, &m) {
		return p.at(m.Offset), m.Value, true
	}
	for _, w := range errs {
		if errors.As(w.err, &m) { // the offset counts from the start of this part
			for _, part := range p {
				if part.path == w.path {
					return p.at(m.Offset + int64(part.start)), m.Value, true
				}
			}
		}
	}
	return v, "", false
}

// syntaxProblem returns the problem of a text that is not valid JSON, with the position of the error.
func syntaxProblem(raw []byte, err error) ConfigProblem {
	at := len(raw)
	if s := (*json.SyntaxError)(nil); errors.As(err, &s) {
		at = int(s.Offset) - 1
	}
	line, column := positionOf(raw, at)
	return ConfigProblem{line, column, "config: " + err.Error()}
}

// positionOf returns the line and column of an offset, counted from 1.
func positionOf(raw []byte, at int) (line, column int) {
	at = min(max(at, 0), len(raw))
	before := raw[:at]
	return 1 + bytes.Count(before, []byte("\n")), at - bytes.LastIndexByte(before, '\n')
}

// valueSpan is the position of a value in a text, with its path, such as settings.bounds.connIdle or
// peers[1].
type valueSpan struct {
	path       string
	start, end int
}

type valueSpans []valueSpan

// at returns the innermost value that contains an offset or ends at it, or the zero value.
func (p valueSpans) at(offset int64) (v valueSpan) {
	for _, w := range p {
		inside := int64(w.start) < offset && offset <= int64(w.end)
		if inside && (v.end == 0 || w.end-w.start <= v.end-v.start) {
			v = w
		}
	}
	return v
}

// problem returns the problem err at the value of a path or, if there is no such value, at the innermost
// value that would contain it.
func (p valueSpans) problem(raw []byte, path string, err error) ConfigProblem {
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

// maxNesting is the maximum nesting depth of a configuration.
const maxNesting = 64

// findValues returns the positions of all values in a text.
func findValues(raw []byte) (valueSpans, error) {
	var all json.RawMessage
	if err := json.Unmarshal(raw, &all); err != nil { // checks the whole text, unlike the decoder below
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var spans valueSpans
	err := spans.addValue(raw, d, "", 0)
	return spans, err
}

// addValue appends the next value of a decoder and all values inside it.
func (p *valueSpans) addValue(raw []byte, d *json.Decoder, path string, depth int) error {
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
	*p = append(*p, valueSpan{path: path, start: from})
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
