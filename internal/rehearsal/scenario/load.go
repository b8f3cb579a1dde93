package scenario

import "dunestep/internal/stricttoml"

// Load reads a scenario file. The error is of type stricttoml.Problems if the file could be read.
func Load(name string) (*Scenario, error) {
	s := &Scenario{}
	if err := stricttoml.ReadFile(name, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse reads a scenario. name is used in the errors, which are of type stricttoml.Problems.
func Parse(name string, data []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := stricttoml.Read(name, data, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// Encode returns a scenario as TOML that Parse reads back into the same value. Values equal to their
// default are omitted.
func Encode(s *Scenario) ([]byte, error) { return stricttoml.Write(s) }
