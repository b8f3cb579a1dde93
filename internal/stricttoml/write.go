package stricttoml

import (
	"reflect"

	"github.com/pelletier/go-toml/v2"
)

// Write encodes the struct that from points to as a document that Read decodes into an equal struct. It omits
// fields whose value is what Read sets if the key is omitted.
func Write(from any) ([]byte, error) {
	return toml.Marshal(encodeTable(reflect.ValueOf(from).Elem()))
}

// encodeTable returns the keys and values of a struct's table.
func encodeTable(v reflect.Value) map[string]any {
	doc := map[string]any{}
	for i := range v.NumField() {
		tag, field := parseTag(v.Type().Field(i)), v.Field(i)
		value := encodeValue(tag, field)
		omit := isDefault(tag, field)
		if table, isTable := value.(map[string]any); isTable && field.Kind() == reflect.Struct {
			omit = len(table) == 0 // a struct of zeros may have required keys
		}
		if tag.required || !omit {
			doc[tag.key] = value
		}
	}
	return doc
}

// isDefault reports whether a field has the value that it gets if its key is omitted.
func isDefault(tag fieldTag, v reflect.Value) bool {
	absent := reflect.New(v.Type()).Elem()
	if tag.defaultValue != nil {
		d := &Document{tables: map[string]map[string]any{}}
		d.bindValue(tag.key, tag, tag.defaultValue, absent)
	}
	return reflect.DeepEqual(v.Interface(), absent.Interface())
}

// encodeValue returns a field's value as the TOML library encodes it, in the unit of its key.
func encodeValue(tag fieldTag, v reflect.Value) any {
	switch {
	case v.Type() == durationType:
		return float64(v.Int()) / float64(keyUnit(tag.key))
	case isSpan(v.Type()):
		low, high := encodeValue(tag, v.Field(0)), encodeValue(tag, v.Field(1))
		if low == high {
			return low
		}
		return []any{low, high}
	case v.CanUint():
		return int64(v.Uint())
	}
	switch v.Kind() {
	case reflect.Struct:
		return encodeTable(v)
	case reflect.Slice:
		all := make([]any, v.Len())
		for i := range all {
			all[i] = encodeValue(tag, v.Index(i))
		}
		return all
	case reflect.Map:
		all := make(map[string]any, v.Len())
		for name, one := range v.Seq2() {
			all[name.String()] = encodeValue(tag, one)
		}
		return all
	case reflect.String:
		return v.String()
	default:
		return v.Interface()
	}
}
