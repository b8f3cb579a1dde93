package main

import (
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

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
	var reloadAgain <-chan time.Time // set while the files cannot be read
	for {
		select {
		case err := <-p.serveErrors:
			return err
		case <-hangup:
			reloadAgain = p.reload(line.Operator)
		case <-reloadAgain:
			reloadAgain = p.reload(line.Operator)
		case s := <-stop:
			slog.Info("draining", "signal", s)
			p.stop()
			slog.Info("stopped")
			return nil
		}
	}
}

// reloadInterval is the time between two attempts to read the files while the system cannot.
const reloadInterval = 100 * time.Millisecond

// reload reads the configuration and the operator file again, and applies discovery's address, the limits,
// and the operator file's settings for the log, overload control and policies. If a file cannot be used, it
// changes nothing and logs the problems. If the system cannot read a file at the moment, it returns a channel
// that reports when to try again.
func (p *process) reload(operatorFile string) (again <-chan time.Time) {
	s, err := readSettings(os.Getenv("LB_CONFIG"), operatorFile)
	if isPassingFault(err) {
		if !p.isReloading {
			slog.Warn("configuration cannot be read at the moment, trying again", "error", err)
		}
		p.isReloading = true
		return time.After(reloadInterval)
	}
	p.isReloading = false
	if err != nil {
		for _, problem := range operator.Problems(err) {
			slog.Warn("configuration not applied, the previous one stays in force", "error", problem)
		}
		return nil
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
	return nil
}

// isPassingFault reports whether reading a file failed for a reason that may pass without a change of the
// file: a lack of descriptors or memory, or a disk that fails.
func isPassingFault(err error) bool {
	for _, passing := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO, syscall.EINTR, syscall.EAGAIN,
		syscall.ESTALE, syscall.ETIMEDOUT,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
