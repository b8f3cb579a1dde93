package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/mailru/easyjson/jlexer"
)

// endpointListForm is the list as encoded, with entries of form E.
type endpointListForm[E any] struct {
	Version *int64 `json:"version"`
	Full    bool   `json:"full"`
	Servers []E    `json:"servers"`
}

// endpointForm is an entry of the list as encoded.
type endpointForm struct {
	ID        string   `json:"id"`
	Addr      string   `json:"addr"`
	Zone      string   `json:"zone"`
	Kind      string   `json:"kind"`
	State     string   `json:"state"`
	Cell      int      `json:"cell"`
	Weight    *float64 `json:"weight"`
	StartedMS int64    `json:"started_ms"`
}

// errUnusualForm reports that a list has to be read by encoding/json, which takes three times as long.
var errUnusualForm = errors.New("the list has an unusual form")

// The names of the fields, for which other upper and lower case is accepted.
var (
	listFieldNames  = []string{"version", "full", "servers"}
	entryFieldNames = []string{"id", "addr", "zone", "kind", "state", "cell", "weight", "started_ms"}
)

// unmarshalListForm decodes a list as json.Unmarshal does.
func unmarshalListForm(raw []byte, form *endpointListForm[endpointForm]) error {
	if !jsontext.Value(raw).IsValid(jsontext.AllowDuplicateNames(true)) || readListForm(raw, form) != nil {
		*form = endpointListForm[endpointForm]{}
		return json.Unmarshal(raw, form)
	}
	return nil
}

// readListForm decodes valid JSON, in valid UTF-8, if it has the usual form, and returns an error otherwise.
func readListForm(raw []byte, form *endpointListForm[endpointForm]) error {
	if bytes.IndexByte(raw, '\\') >= 0 {
		return errUnusualForm
	}
	in := &jlexer.Lexer{Data: raw}
	readFields(in, listFieldNames, func(name string) {
		switch name {
		case "version":
			version := in.Int64()
			form.Version = &version
		case "full":
			form.Full = in.Bool()
		case "servers":
			if form.Servers != nil {
				in.AddError(errUnusualForm)
			}
			form.Servers = readEntryForms(in)
		}
	})
	return in.Error()
}

// readEntryForms decodes the entries of a list.
func readEntryForms(in *jlexer.Lexer) []endpointForm {
	forms := []endpointForm{}
	in.Delim('[')
	for in.Ok() && !in.IsDelim(']') {
		forms = append(forms, endpointForm{})
		readEntryForm(in, &forms[len(forms)-1])
		in.WantComma()
	}
	in.Delim(']')
	return forms
}

func readEntryForm(in *jlexer.Lexer, form *endpointForm) {
	readFields(in, entryFieldNames, func(name string) {
		switch name {
		case "id":
			form.ID = in.String()
		case "addr":
			form.Addr = in.String()
		case "zone":
			form.Zone = in.StringIntern()
		case "kind":
			form.Kind = in.StringIntern()
		case "state":
			form.State = in.StringIntern()
		case "cell":
			form.Cell = in.Int()
		case "weight":
			weight := in.Float64()
			form.Weight = &weight
		case "started_ms":
			form.StartedMS = in.Int64()
		}
	})
}

// readFields calls read for each field of an object that has one of the names, and skips the others. A name
// that differs in case only ends the decoding with an error.
func readFields(in *jlexer.Lexer, names []string, read func(name string)) {
	in.Delim('{')
	for in.Ok() && !in.IsDelim('}') {
		name := in.UnsafeFieldName(false)
		in.WantColon()
		if known, isUsual := findName(names, name); isUsual {
			read(known)
		} else {
			if known != "" {
				in.AddError(errUnusualForm)
			}
			in.SkipRecursive()
		}
		in.WantComma()
	}
	in.Delim('}')
}

// findName finds a field's name whatever its case, and reports whether it has the usual one.
func findName(names []string, name string) (known string, isUsual bool) {
	for _, known := range names {
		if known == name {
			return known, true
		}
	}
	for _, known := range names {
		if strings.EqualFold(known, name) {
			return known, false
		}
	}
	return "", false
}
