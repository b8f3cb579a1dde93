package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"dunestep/internal/metrics"
	"dunestep/internal/operator"
)

// serveCommand runs the agent.
type serveCommand struct{}

// Run serves until SIGTERM or SIGINT, or until a listening socket fails. SIGHUP reloads the files.
func (serveCommand) Run(line *commandLine) error {
	signal.Ignore(syscall.SIGPIPE) // a log reader that exits must not end the agent
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	// Before anything that takes time: without a handler, SIGHUP ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	s, err := readStartSettings(line.Operator)
	if err != nil {
		return err
	}
	logging.set(s.operator.Log)
	slog.SetDefault(slog.New(logging))
	p := &process{settings: s, metrics: metrics.New(classNames(s.Settings.Classes))}
	if err := p.start(); err != nil {
		return err
	}
	defer p.close()
	for {
		select {
		case err := <-p.serveErrors:
			return err
		case <-hangup:
			p.reload(line.Operator)
		case s := <-stop:
			slog.Info("draining", "signal", s)
			p.stop()
			slog.Info("stopped")
			return nil
		}
	}
}

// reload reads the configuration and the operator file again, and applies discovery's address, the limits,
// and the operator file's settings for the log, overload control and policies. If a file cannot be used, it
// changes nothing and logs the problems.
func (p *process) reload(operatorFile string) {
	s, err := readSettings(os.Getenv("LB_CONFIG"), operatorFile)
	if err != nil {
		for _, problem := range operator.Problems(err) {
			slog.Warn("configuration not applied, the previous one stays in force", "error", problem)
		}
		return
	}
	logging.set(s.operator.Log)
	p.upgrade.mu.Lock()
	p.settings.Limits, p.settings.operator = s.Limits, s.operator
	p.upgrade.mu.Unlock()
	p.applyLimits()
	p.agent.SetOverload(s.overloadConfig())
	p.fleet.reload(s)
	p.agent.SetDiscovery(s.Discovery)
	slog.Info("configuration applied", "discovery", s.Discovery, "cores", s.Limits.Cores,
		"memory_mb", s.Limits.MemoryMB, "sockets", s.Limits.Sockets)
}
