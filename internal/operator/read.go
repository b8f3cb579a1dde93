package operator

import (
	"reflect"

	"dunestep/internal/stricttoml"
)

// Read reads an operator file; without a path, all is as by default. The file is checked as a whole: the
// error holds everything that is wrong with it, each with line, column and what is allowed.
func Read(path string) (File, error) {
	file := Default()
	if path == "" {
		return file, nil
	}
	if err := stricttoml.ReadFile(path, &file, file.check); err != nil {
		return File{}, err
	}
	return file, nil
}

// check has each table that is right key by key look for what is wrong between its keys.
func (f *File) check(d *stricttoml.Document) {
	tables := reflect.ValueOf(f).Elem()
	for i := range tables.NumField() {
		name := tables.Type().Field(i).Tag.Get("toml")
		table, checks := tables.Field(i).Interface().(interface{ check() (key, problem string) })
		if !checks || !d.Sound(name) {
			continue
		}
		if key, problem := table.check(); key != "" {
			d.Complain(name+"."+key, "%s", problem)
		}
	}
}

// Problems takes apart the error of Read, in the order of the file.
func Problems(err error) (all []error) {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	for _, one := range joined.Unwrap() {
		all = append(all, Problems(one)...)
	}
	return all
}
