package main

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/control/policy"
	"dunestep/internal/operator"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/state"
	"dunestep/internal/transport"
)

// maxConfigBytes bounds the size of a configuration file, and of a response of an operators' socket.
const maxConfigBytes = 16 << 20

// settings are all settings of the program: the configuration file, overridden by the environment, and the
// operator file.
type settings struct {
	protocol.Config
	operator operator.File
}

// readStartSettings reads the settings at the start. The environment variables are required, except for
// LB_OPS, and take precedence over the configuration file.
func readStartSettings(operatorFile string) (s settings, err error) {
	env := map[string]string{}
	for _, name := range []string{"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"} {
		if env[name] = os.Getenv(name); env[name] == "" {
			return s, errors.New(name + " is not set")
		}
	}
	if s, err = readSettings(env["LB_CONFIG"], operatorFile); err != nil {
		return s, err
	}
	s.Name = env["LB_NAME"]
	if s.Listen, err = netip.ParseAddrPort(env["LB_LISTEN"]); err != nil {
		return s, fmt.Errorf("LB_LISTEN: %w", err)
	}
	if s.Discovery, err = netip.ParseAddrPort(env["LB_DISCOVERY"]); err != nil {
		return s, fmt.Errorf("LB_DISCOVERY: %w", err)
	}
	if ops := os.Getenv("LB_OPS"); ops != "" {
		if s.Ops, err = netip.ParseAddrPort(ops); err != nil || s.Ops.Port() == 0 {
			return s, fmt.Errorf("LB_OPS: %q is not an address with a port", ops)
		}
	}
	return s, nil
}

// readSettings reads the configuration and the operator file.
func readSettings(configFile, operatorFile string) (s settings, err error) {
	if s.Config, err = readConfig(configFile); err != nil {
		return s, err
	}
	s.operator, err = operator.Read(operatorFile)
	return s, err
}

// readConfig reads the configuration file.
func readConfig(path string) (c protocol.Config, err error) {
	raw, err := readBounded(path, maxConfigBytes)
	if err != nil {
		return c, err
	}
	if c, err = protocol.DecodeConfig(raw); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// readBounded returns a file's content, at most its first maxBytes bytes.
func readBounded(path string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened only for reading
	return io.ReadAll(io.LimitReader(f, maxBytes))
}

// bodyLimits returns the memory for bodies, in bytes, and their rules.
func (s settings) bodyLimits() (memoryBytes int64, rules transport.BodyRules) {
	a := s.operator.Bodies
	return int64(a.MemoryFraction * float64(s.Limits.MemoryMB<<20)), transport.BodyRules{
		MaxBytes: a.MaxKB << 10, BufferedBytes: a.BufferedKB << 10, MaxBuffering: milliseconds(a.MaxBufferingMS),
		ClientStallTimeout: milliseconds(a.ClientStallMS), MaxClientLag: milliseconds(a.ClientLagMS),
	}
}

// overloadConfig returns the configuration of overload control.
func (s settings) overloadConfig() overload.Config {
	t := s.operator.Overload
	return overload.Config{
		Disabled:           !t.Enabled,
		ReportQuota:        t.RateLimitFields,
		EpisodeFactor:      t.EpisodeFactor,
		SheddingFraction:   t.SheddingFraction,
		MaxShedding:        milliseconds(t.MaxSheddingMS),
		MinShedding:        milliseconds(t.MinSheddingMS),
		SheddingBackoff:    seconds(t.SheddingBackoffS),
		TrialFraction:      t.TrialFraction,
		RecoveryHeadroom:   t.RecoveryHeadroom,
		WastedFraction:     t.WastedFraction,
		SheddingWhenSparse: t.SheddingWhenSparse,
		FairnessRotation:   seconds(t.FairnessRotationS),
	}
}

// slowStartParams returns the balancer's parameters of slow start.
func (s settings) slowStartParams() slowstart.Params {
	rules, tuning := s.Settings.Rules, balancer.DefaultTuning()
	return slowstart.Params{
		InitialCapacity: rules.SlowStartCapacity, Duration: rules.SlowStartDuration,
		OverloadMultiple: rules.OverloadMultiple, OverloadWindow: rules.OverloadWindow,
		Margin: tuning.SlowStartMargin, MaxWarmMultiple: tuning.SlowStartMax, Balancers: s.Settings.Balancers,
	}
}

// localPolicySettings returns the settings against which policies are checked, and which apply without a
// policy.
func (s settings) localPolicySettings() policy.LocalSettings {
	return policy.LocalSettings{
		Settings:       routing.Permitted(s.Settings.Settings),
		MaxFailedRatio: s.overloadConfig().WastedFraction,
	}
}

// stateOwner returns the identity of this agent in state files. A deployment without a name is identified by
// its classes' names.
func (s settings) stateOwner() state.Owner {
	deployment := s.operator.State.Deployment
	if deployment == "" {
		names := classNames(s.Settings.Classes)
		slices.Sort(names)
		deployment = strings.Join(names, ",")
	}
	return state.Owner{Deployment: deployment, Agent: s.Name}
}

func classNames(classes []balancer.Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}

func seconds(n int64) time.Duration      { return time.Duration(n) * time.Second }
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// unixNow returns the time since the Unix epoch, which is the form of times in operators' settings.
func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// unixTime returns the UTC time at a duration since the Unix epoch; the zero time if at is not positive.
func unixTime(at time.Duration) (t time.Time) {
	if at > 0 {
		t = time.Unix(0, int64(at)).UTC()
	}
	return t
}
