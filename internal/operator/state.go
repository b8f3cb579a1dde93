package operator

// State is the table "state": what is persisted over a restart.
type State struct {
	// Folder is where the state is stored, one folder for each agent, on a persistent disk. Empty: nothing
	// is stored.
	Folder string `toml:"folder"`
	// Deployment is the name of the deployment that is written into the files. Empty: the names of the
	// classes.
	Deployment string `toml:"deployment"`
	// WriteIntervalS is the time between two periodic writes, in seconds.
	WriteIntervalS int64 `toml:"period_s" min:"1" max:"3600"`
	// MaxWritesPerMinute limits all writes, periodic or caused by a change.
	MaxWritesPerMinute int64 `toml:"writes_a_minute" min:"1" max:"60"`
	// Probation sends only a few requests to the servers of a stored endpoint list until discovery has
	// confirmed it.
	Probation bool `toml:"prove_list"`
	// FullDeployS is how long a deploy of all servers takes, in seconds. No entry of a stored list that is
	// as old as this is trusted.
	FullDeployS int64 `toml:"deploy_s" min:"1" max:"86400"`
}

// writesWindowS is the time in seconds that MaxWritesPerMinute counts over.
const writesWindowS = 60

func defaultState() State {
	return State{WriteIntervalS: 10, MaxWritesPerMinute: 12, FullDeployS: 900}
}

// check returns the first key whose value contradicts another key's, and what is required of it.
func (s State) check() (key, problem string) {
	if s.WriteIntervalS*s.MaxWritesPerMinute < writesWindowS {
		return "writes_a_minute", "must allow for one write each period_s"
	}
	return "", ""
}
