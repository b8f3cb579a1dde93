package stricttoml

import (
	"reflect"

	"github.com/pelletier/go-toml/v2"
)

// Write writes the struct that from points to as a document which Read reads back into the same. What is as
// it would be with its key left out, by its tags, is left out.
func Write(from any) ([]byte, error) {
	return toml.Marshal(tableOf(reflect.ValueOf(from).Elem()))
}

func tableOf(v reflect.Value) map[string]any {
	doc := map[string]any{}
	for i := range v.NumField() {
		tag, field := tagOf(v.Type().Field(i)), v.Field(i)
		value := plain(tag, field)
		spare := isDefault(tag, field)
		if table, isTable := value.(map[string]any); isTable && field.Kind() == reflect.Struct {
			spare = len(table) == 0 // one of zeros may hold keys that must be there
		}
		if tag.need || !spare {
			doc[tag.key] = value
		}
	}
	return doc
}

// isDefault tells whether a field is what it would be with its key left out.
func isDefault(tag fieldTag, v reflect.Value) bool {
	absent := reflect.New(v.Type()).Elem()
	if tag.instead != nil {
		d := &Document{tables: map[string]map[string]any{}}
		d.value(tag.key, tag, tag.instead, absent)
	}
	return reflect.DeepEqual(v.Interface(), absent.Interface())
}

// plain is a field's value as a TOML library takes it, in the unit of its key.
func plain(tag fieldTag, v reflect.Value) any {
	switch {
	case v.Type() == timeType:
		return float64(v.Int()) / float64(unit(tag.key))
	case isSpan(v.Type()):
		low, high := plain(tag, v.Field(0)), plain(tag, v.Field(1))
		if low == high {
			return low
		}
		return []any{low, high}
	case v.CanUint():
		return int64(v.Uint())
	}
	switch v.Kind() {
	case reflect.Struct:
		return tableOf(v)
	case reflect.Slice:
		all := make([]any, v.Len())
		for i := range all {
			all[i] = plain(tag, v.Index(i))
		}
		return all
	case reflect.Map:
		all := make(map[string]any, v.Len())
		for name, one := range v.Seq2() {
			all[name.String()] = plain(tag, one)
		}
		return all
	case reflect.String:
		return v.String()
	default:
		return v.Interface()
	}
}
