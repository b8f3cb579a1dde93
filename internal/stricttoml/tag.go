package stricttoml

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// fieldTag is the parsed form of a field's tags.
type fieldTag struct {
	key          string
	required     bool
	min, max     float64  // in the unit of the key
	allowed      []string // allowed strings; nil: any
	defaultValue any      // default as decoded by the TOML library; nil: the field is not changed
}

// parseTag parses a field's tags. It panics if they are invalid.
func parseTag(f reflect.StructField) fieldTag {
	key, option, _ := strings.Cut(f.Tag.Get("toml"), ",")
	t := fieldTag{key: key, required: option == "need", min: -math.MaxFloat64, max: math.MaxFloat64}
	low, high, given := strings.Cut(f.Tag.Get("range"), "..")
	if !given {
		low, high = f.Tag.Get("min"), f.Tag.Get("max")
	}
	switch {
	case low != "":
		t.min, t.max = parseBound(low), parseBound(high)
	case f.Type == durationType:
		panic("stricttoml: duration field without a range: " + f.Name)
	case f.Type.Kind() == reflect.Uint64:
		t.min = 0
	}
	if allowed := f.Tag.Get("oneof"); allowed != "" {
		t.allowed = strings.Split(allowed, ",")
	}
	if text, ok := f.Tag.Lookup("default"); ok {
		var holder struct{ V any }
		if err := toml.Unmarshal([]byte("V = "+text), &holder); err != nil {
			panic(fmt.Sprintf("stricttoml: default of %s: %v", f.Name, err))
		}
		t.defaultValue = holder.V
	}
	return t
}

// parseBound parses one bound of a range. It panics if it is not a number.
func parseBound(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("stricttoml: range bound in a tag is not a number: " + text)
	}
	return v
}

// inRange reports whether a number is in the tag's range. NaN and infinities never are.
func (t fieldTag) inRange(v float64) bool { return v >= t.min && v <= t.max }

// rangeText returns the tag's range as part of a problem's text, such as " from 1 to 9"; empty: unlimited.
func (t fieldTag) rangeText() (text string) {
	if t.min > -math.MaxFloat64 {
		text += " from " + strconv.FormatFloat(t.min, 'f', -1, 64)
	}
	if t.max < math.MaxFloat64 {
		text += " to " + strconv.FormatFloat(t.max, 'f', -1, 64)
	}
	return text
}

// keyUnit returns the unit of a time by the suffix of its key: milliseconds for _ms, otherwise seconds.
func keyUnit(key string) time.Duration {
	if strings.HasSuffix(key, "_ms") {
		return time.Millisecond
	}
	return time.Second
}

var durationType = reflect.TypeFor[time.Duration]()

// isSpan reports whether a struct is a span rather than a table.
func isSpan(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t.NumField() == 2 &&
		t.Field(0).Name == "Low" && t.Field(1).Name == "High"
}
