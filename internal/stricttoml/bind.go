package stricttoml

import (
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
)

// bindTable sets the fields of a struct from a table, and reports unknown and missing keys.
func (d *Document) bindTable(path string, values map[string]any, into reflect.Value) {
	d.tables[path] = values
	tags := make([]fieldTag, into.NumField())
	for i := range tags {
		tags[i] = parseTag(into.Type().Field(i))
	}
	d.reportUnknownKeys(path, tags, into)
	for i, tag := range tags {
		value, present := values[tag.key]
		switch {
		case present:
		case tag.required:
			d.AddProblem(path, "needs the key %s", tag.key)
			continue
		case tag.defaultValue != nil:
			value = tag.defaultValue
		case into.Field(i).Kind() == reflect.Struct && !isSpan(into.Field(i).Type()):
			value = map[string]any{} // an omitted table: its keys have their defaults
		default:
			continue
		}
		d.bindValue(keyPath(path, tag.key), tag, value, into.Field(i))
	}
}

// reportUnknownKeys reports the keys of a table that its struct does not define.
func (d *Document) reportUnknownKeys(path string, tags []fieldTag, into reflect.Value) {
	keys, expected := make([]string, len(tags)), "table" // if all fields are tables
	for i, tag := range tags {
		keys[i] = tag.key
		if into.Field(i).Kind() != reflect.Struct || isSpan(into.Field(i).Type()) {
			expected = "key"
		}
	}
	for _, key := range d.Keys(path) {
		if !slices.Contains(keys, key) {
			d.AddProblem(keyPath(path, key), "unknown %s; there are %s", expected, strings.Join(keys, ", "))
		}
	}
}

// bindValue sets a field from one value according to the field's type.
func (d *Document) bindValue(path string, tag fieldTag, value any, into reflect.Value) {
	switch kind := into.Kind(); {
	case into.Type() == durationType || kind == reflect.Float64:
		d.bindNumber(path, tag, value, into)
	case kind == reflect.Int || kind == reflect.Int64 || kind == reflect.Uint64:
		d.bindInteger(path, tag, value, into)
	case kind == reflect.Bool:
		if b, ok := value.(bool); ok {
			into.SetBool(b)
		} else {
			d.AddProblem(path, "must be true or false")
		}
	case kind == reflect.String:
		d.bindString(path, tag, value, into)
	case kind == reflect.Slice:
		d.bindArray(path, tag, value, into)
	case isSpan(into.Type()):
		d.bindSpan(path, tag, value, into)
	case kind == reflect.Struct || kind == reflect.Map:
		d.bindTableOrMap(path, tag, value, into)
	default:
		panic("stricttoml: no binding for " + into.Type().String())
	}
}

// bindNumber sets a float64 or a time.Duration from a number, and returns the number. ok is false if the
// value is not allowed. An integer is accepted as a number.
func (d *Document) bindNumber(path string, tag fieldTag, value any, into reflect.Value) (v float64, ok bool) {
	switch n := value.(type) {
	case int64:
		v, ok = float64(n), true
	case float64:
		v, ok = n, true
	}
	switch {
	case !ok || !tag.inRange(v):
		d.AddProblem(path, "must be a number%s", tag.rangeText())
		return 0, false
	case into.Type() == durationType:
		into.SetInt(int64(math.Round(v * float64(keyUnit(tag.key)))))
	default:
		into.SetFloat(v)
	}
	return v, true
}

// bindInteger sets an integer field.
func (d *Document) bindInteger(path string, tag fieldTag, value any, into reflect.Value) {
	switch n, isInteger := value.(int64); {
	case !isInteger || !tag.inRange(float64(n)):
		d.AddProblem(path, "must be a whole number%s", tag.rangeText())
	case into.CanUint():
		into.SetUint(uint64(n))
	default:
		into.SetInt(n)
	}
}

// bindSpan sets a span from a number, or from an array of its minimum and maximum.
func (d *Document) bindSpan(path string, tag fieldTag, value any, into reflect.Value) {
	ends, isArray := value.([]any)
	if !isArray {
		ends = []any{value, value}
	}
	if len(ends) != 2 {
		d.AddProblem(path, "must be a number%s, or an array of two: the minimum and the maximum", tag.rangeText())
		return
	}
	low, ok := d.bindNumber(path, tag, ends[0], into.Field(0))
	if !ok {
		return
	}
	if high, ok := d.bindNumber(path, tag, ends[1], into.Field(1)); ok && low > high {
		d.AddProblem(path, "the minimum, %v, is above the maximum, %v", low, high)
	}
}

// maxEntries is the maximum number of entries in an array.
const maxEntries = 1000

// bindArray sets a slice from an array, entry by entry.
func (d *Document) bindArray(path string, tag fieldTag, value any, into reflect.Value) {
	entries, ok := value.([]any)
	if !ok || len(entries) > maxEntries {
		d.AddProblem(path, "must be an array of at most %d entries", maxEntries)
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(entries), len(entries)))
	for i, one := range entries {
		d.bindValue(entryPath(path, i), tag, one, into.Index(i))
	}
}

// bindTableOrMap sets a struct from a table, or a map from a table with arbitrary keys.
func (d *Document) bindTableOrMap(path string, tag fieldTag, value any, into reflect.Value) {
	values, ok := value.(map[string]any)
	switch {
	case !ok:
		d.AddProblem(path, "must be a table")
	case into.Kind() == reflect.Struct:
		d.bindTable(path, values, into)
	default:
		into.Set(reflect.MakeMapWithSize(into.Type(), len(values)))
		for _, name := range slices.Sorted(maps.Keys(values)) {
			one := reflect.New(into.Type().Elem()).Elem()
			d.bindValue(keyPath(path, name), tag, values[name], one)
			into.SetMapIndex(reflect.ValueOf(name), one)
		}
	}
}

// maxStringBytes is the maximum length of a string in bytes; file paths are limited to the same length.
const maxStringBytes = 4096

// bindString sets a string field.
func (d *Document) bindString(path string, tag fieldTag, value any, into reflect.Value) {
	text, ok := value.(string)
	switch {
	case !ok:
		d.AddProblem(path, "must be a string")
	case len(tag.allowed) > 0 && !slices.Contains(tag.allowed, text):
		d.AddProblem(path, "%q is unknown; allowed: %s", text, strings.Join(tag.allowed, ", "))
	case len(text) > maxStringBytes:
		d.AddProblem(path, "is longer than %d bytes", maxStringBytes)
	case tag.required && text == "":
		d.AddProblem(path, "must not be empty")
	default:
		into.SetString(text)
	}
}
