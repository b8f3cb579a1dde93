package operator

// State is the table "state": settings for the state that survives a restart.
type State struct {
	// Folder is where the state is stored: a separate folder for each agent, on a persistent disk. Empty:
	// nothing is stored.
	Folder string `toml:"folder"`
	// Deployment is the name of the deployment as written into the files. Empty: the names of the classes are
	// used.
	Deployment string `toml:"deployment"`
	// WriteIntervalS is the time between two periodic writes, in seconds.
	WriteIntervalS int64 `toml:"period_s" min:"1" max:"3600"`
	// MaxWritesPerMinute is the maximum rate of all writes, periodic ones and those caused by a change.
	MaxWritesPerMinute int64 `toml:"writes_a_minute" min:"1" max:"60"`
	// Probation limits the servers of a stored endpoint list to a few requests until discovery has confirmed the
	// list.
	Probation bool `toml:"prove_list"`
	// FullDeployS is the duration of a deployment of all servers, in seconds. A stored list of at least this age
	// is not trusted.
	FullDeployS int64 `toml:"deploy_s" min:"1" max:"86400"`
}

// writesWindowS is the time over which MaxWritesPerMinute counts, in seconds.
const writesWindowS = 60

func defaultState() State {
	return State{WriteIntervalS: 10, MaxWritesPerMinute: 12, FullDeployS: 900}
}

// check returns the first key that contradicts another one, and its requirement; empty strings if there is
// none.
func (s State) check() (key, problem string) {
	if s.WriteIntervalS*s.MaxWritesPerMinute < writesWindowS {
		return "writes_a_minute", "must allow at least one write per period_s"
	}
	return "", ""
}
