package scenario

import "dunestep/internal/stricttoml"

// Load reads a scenario's file. The error is stricttoml.Problems where the file could be read.
func Load(name string) (*Scenario, error) {
	s := &Scenario{}
	if err := stricttoml.ReadFile(name, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse reads a scenario. The name is for the errors, which are stricttoml.Problems.
func Parse(name string, data []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := stricttoml.Read(name, data, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// Encode writes a scenario as a file that Parse reads back into the same value. What is at its default is
// left out.
func Encode(s *Scenario) ([]byte, error) { return stricttoml.Write(s) }
