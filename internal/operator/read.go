package operator

import (
	"reflect"

	"dunestep/internal/stricttoml"
)

// Read reads and checks the operator file at path; for an empty path it returns Default. The error joins all
// problems of the file, each with line, column and what is allowed; Problems lists them.
func Read(path string) (File, error) {
	file := Default()
	if path == "" {
		return file, nil
	}
	if err := stricttoml.ReadFile(path, &file, file.checkTables); err != nil {
		return File{}, err
	}
	return file, nil
}

// tableChecker is a table with rules between its keys. check returns the first key that violates one and a
// description of the problem, or empty strings.
type tableChecker interface {
	check() (key, problem string)
}

// checkTables checks the rules between keys of each table whose individual values are valid.
func (f *File) checkTables(d *stricttoml.Document) {
	tables := reflect.ValueOf(f).Elem()
	for i := range tables.NumField() {
		name := tables.Type().Field(i).Tag.Get("toml")
		table, hasRules := tables.Field(i).Interface().(tableChecker)
		if !hasRules || !d.IsValid(name) {
			continue
		}
		if key, problem := table.check(); key != "" {
			d.AddProblem(name+"."+key, "%s", problem)
		}
	}
}

// Problems splits an error of Read into its problems, in the order of the file. For any other error it
// returns only that error.
func Problems(err error) []error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var all []error
	for _, one := range joined.Unwrap() {
		all = append(all, Problems(one)...)
	}
	return all
}
