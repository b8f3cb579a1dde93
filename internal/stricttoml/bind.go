package stricttoml

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// A fieldTag is what a field's tags say. Where there are no words, any text is allowed.
type fieldTag struct {
	key         string
	need        bool
	least, most float64 // in the unit of the key
	words       []string
	instead     any // what it is where the document leaves it out; nil: what it was
}

// tagOf reads a field's tags. It panics on ones that make no sense.
func tagOf(f reflect.StructField) fieldTag {
	key, option, _ := strings.Cut(f.Tag.Get("toml"), ",")
	t := fieldTag{key: key, need: option == "need", least: -math.MaxFloat64, most: math.MaxFloat64}
	low, high, given := strings.Cut(f.Tag.Get("range"), "..")
	if !given {
		low, high = f.Tag.Get("min"), f.Tag.Get("max")
	}
	switch {
	case low != "":
		t.least, t.most = number(low), number(high)
	case f.Type == timeType:
		panic("strict: a time without a range: " + f.Name)
	case f.Type.Kind() == reflect.Uint64:
		t.least = 0
	}
	if words := f.Tag.Get("oneof"); words != "" {
		t.words = strings.Split(words, ",")
	}
	if text, ok := f.Tag.Lookup("default"); ok {
		var holder struct{ V any }
		if err := toml.Unmarshal([]byte("V = "+text), &holder); err != nil {
			panic(fmt.Sprintf("strict: default of %s: %v", f.Name, err))
		}
		t.instead = holder.V
	}
	return t
}

func number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("strict: a range in a tag is no number: " + text)
	}
	return v
}

// holds tells whether a number is in the tag's range. NaN is in no range, and infinities are in none.
func (t fieldTag) holds(v float64) bool { return v >= t.least && v <= t.most }

// bounds is the tag's range for a reader.
func (t fieldTag) bounds() (text string) {
	if t.least > -math.MaxFloat64 {
		text += " from " + strconv.FormatFloat(t.least, 'f', -1, 64)
	}
	if t.most < math.MaxFloat64 {
		text += " to " + strconv.FormatFloat(t.most, 'f', -1, 64)
	}
	return text
}

// unit is the time that 1 stands for under a key that ends in _ms or _s.
func unit(key string) time.Duration {
	if strings.HasSuffix(key, "_ms") {
		return time.Millisecond
	}
	return time.Second
}

var timeType = reflect.TypeFor[time.Duration]()

// isSpan tells a span from a table.
func isSpan(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t.NumField() == 2 &&
		t.Field(0).Name == "Low" && t.Field(1).Name == "High"
}

// table binds a table to a struct.
func (d *Document) table(path string, values map[string]any, into reflect.Value) {
	d.tables[path] = values
	tags := make([]fieldTag, into.NumField())
	for i := range tags {
		tags[i] = tagOf(into.Type().Field(i))
	}
	d.unknown(path, tags, into)
	for i, tag := range tags {
		value, there := values[tag.key]
		switch {
		case there:
		case tag.need:
			d.Complain(path, "needs the key %s", tag.key)
			continue
		case tag.instead != nil:
			value = tag.instead
		case into.Field(i).Kind() == reflect.Struct && !isSpan(into.Field(i).Type()):
			value = map[string]any{} // a table left out: its keys take their defaults
		default:
			continue
		}
		d.value(below(path, tag.key), tag, value, into.Field(i))
	}
}

// unknown notes the keys of a table that are none of its struct's.
func (d *Document) unknown(path string, tags []fieldTag, into reflect.Value) {
	keys, what := make([]string, len(tags)), "table"
	for i, tag := range tags {
		keys[i] = tag.key
		if into.Field(i).Kind() != reflect.Struct || isSpan(into.Field(i).Type()) {
			what = "key"
		}
	}
	for _, key := range d.Keys(path) {
		if !slices.Contains(keys, key) {
			d.Complain(below(path, key), "unknown %s; there are %s", what, strings.Join(keys, ", "))
		}
	}
}

// value binds one value to a field.
func (d *Document) value(path string, tag fieldTag, value any, into reflect.Value) {
	switch kind := into.Kind(); {
	case into.Type() == timeType || kind == reflect.Float64:
		d.number(path, tag, value, into)
	case kind == reflect.Int || kind == reflect.Int64 || kind == reflect.Uint64:
		d.whole(path, tag, value, into)
	case kind == reflect.Bool:
		if truth, ok := value.(bool); ok {
			into.SetBool(truth)
		} else {
			d.Complain(path, "must be true or false")
		}
	case kind == reflect.String:
		d.text(path, tag, value, into)
	case kind == reflect.Slice:
		d.array(path, tag, value, into)
	case isSpan(into.Type()):
		d.span(path, tag, value, into)
	case kind == reflect.Struct || kind == reflect.Map:
		d.tableOrNames(path, tag, value, into)
	default:
		panic("strict: no binding for " + into.Type().String())
	}
}

// number binds a number or a time. A whole number may stand where any number may.
func (d *Document) number(path string, tag fieldTag, value any, into reflect.Value) (v float64, ok bool) {
	switch n := value.(type) {
	case int64:
		v, ok = float64(n), true
	case float64:
		v, ok = n, true
	}
	switch {
	case !ok || !tag.holds(v):
		d.Complain(path, "must be a number%s", tag.bounds())
		return 0, false
	case into.Type() == timeType:
		into.SetInt(int64(math.Round(v * float64(unit(tag.key)))))
	default:
		into.SetFloat(v)
	}
	return v, true
}

func (d *Document) whole(path string, tag fieldTag, value any, into reflect.Value) {
	switch n, isWhole := value.(int64); {
	case !isWhole || !tag.holds(float64(n)):
		d.Complain(path, "must be a whole number%s", tag.bounds())
	case into.CanUint():
		into.SetUint(uint64(n))
	default:
		into.SetInt(n)
	}
}

// span binds a number, or an array of the least and the most.
func (d *Document) span(path string, tag fieldTag, value any, into reflect.Value) {
	ends, isArray := value.([]any)
	if !isArray {
		ends = []any{value, value}
	}
	if len(ends) != 2 {
		d.Complain(path, "must be a number%s, or an array of two: the least and the most", tag.bounds())
		return
	}
	low, ok := d.number(path, tag, ends[0], into.Field(0))
	if !ok {
		return
	}
	if high, ok := d.number(path, tag, ends[1], into.Field(1)); ok && low > high {
		d.Complain(path, "the least, %v, is over the most, %v", low, high)
	}
}

const maxEntries = 1000 // of an array

func (d *Document) array(path string, tag fieldTag, value any, into reflect.Value) {
	entries, ok := value.([]any)
	if !ok || len(entries) > maxEntries {
		d.Complain(path, "must be an array of at most %d entries", maxEntries)
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(entries), len(entries)))
	for i, one := range entries {
		d.value(entry(path, i), tag, one, into.Index(i))
	}
}

// tableOrNames binds a table to a struct, or to a map by the names that the document chose.
func (d *Document) tableOrNames(path string, tag fieldTag, value any, into reflect.Value) {
	values, ok := value.(map[string]any)
	switch {
	case !ok:
		d.Complain(path, "must be a table")
	case into.Kind() == reflect.Struct:
		d.table(path, values, into)
	default:
		into.Set(reflect.MakeMapWithSize(into.Type(), len(values)))
		for _, name := range slices.Sorted(maps.Keys(values)) {
			one := reflect.New(into.Type().Elem()).Elem()
			d.value(below(path, name), tag, values[name], one)
			into.SetMapIndex(reflect.ValueOf(name), one)
		}
	}
}

const maxText = 4096 // bytes, as a file's path may have

func (d *Document) text(path string, tag fieldTag, value any, into reflect.Value) {
	text, ok := value.(string)
	switch {
	case !ok:
		d.Complain(path, "must be a string")
	case len(tag.words) > 0 && !slices.Contains(tag.words, text):
		d.Complain(path, "%q is unknown; allowed: %s", text, strings.Join(tag.words, ", "))
	case len(text) > maxText:
		d.Complain(path, "is longer than %d bytes", maxText)
	case tag.need && text == "":
		d.Complain(path, "must not be empty")
	default:
		into.SetString(text)
	}
}
