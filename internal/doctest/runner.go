package doctest

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// Runner runs the commands of pages in parallel, each page in its own copy of the repository.
type Runner struct {
	Root string // root folder of the repository
	// Programs is a folder of built programs, for pages that do not build them themselves.
	Programs string

	pages map[string]Page
}

// pageAddress is the address in the pages and in the files of the example. Each run replaces it by another
// address of its own in 127.0.0.0/8, which is all loopback, so that pages can run in parallel, and beside
// a user who follows a page by hand, with the ports of the page.
const pageAddress = "127.0.0.1"

// example is the folder whose files contain pageAddress.
const example = "example"

// Build builds the programs of the repository into a folder, with the command of README.md.
func (p *Runner) Build(folder string) error {
	cmd := exec.Command("go", "build", "-trimpath", "-ldflags=-linkmode=external", "-o", folder+"/", "./cmd/...")
	cmd.Dir = p.Root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("building the programs: %w\n%s", err, out)
	}
	p.Programs = folder
	return nil
}

// Params writes a script for each page to a folder and returns the parameters with which testscript runs
// them. The end of a script stops the background commands of its page.
func (p *Runner) Params(folder string, pages []Page) (testscript.Params, error) {
	p.pages = map[string]Page{}
	params := testscript.Params{
		Setup: p.setup,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"block": p.runBlock},
	}
	for _, page := range pages {
		script, runs := page.script()
		if !runs {
			continue
		}
		file := filepath.Join(folder, scriptName(page.Name)+".txtar")
		if err := os.WriteFile(file, []byte(script), 0o600); err != nil {
			return params, err
		}
		p.pages[scriptName(page.Name)] = page
		params.Files = append(params.Files, file)
	}
	return params, nil
}

// scriptName returns the name of a page's script.
func scriptName(page string) string { return strings.NewReplacer("/", "-", ".md", "").Replace(page) }

// script returns the page's script, with a line for each block to run, and whether there is any.
func (p Page) script() (text string, runs bool) {
	text = "[!exec:bash] skip 'there is no bash'\n"
	for i, b := range p.Blocks {
		if b.isRun() {
			if strings.Contains(b.Text, "curl ") {
				text += "[!exec:curl] skip 'there is no curl'\n"
			}
			text += fmt.Sprintf("# %s:%d\nblock %d\n", p.Name, b.Line, i)
			runs = true
		}
	}
	return text, runs
}

// isRun reports whether the block has commands that are run.
func (b *Block) isRun() bool { return (b.Kind == Commands || b.Kind == Console) && b.SkipReason == "" }

// pageRun is the run of one page.
type pageRun struct {
	runner      *Runner
	page        Page
	folder      string
	env         []string
	addr        string            // replaces pageAddress
	addressLock net.Listener      // reserves addr
	background  map[string]*shell // background commands by name
}

type pageRunKey struct{}

// setup prepares the folder of a page's run: a copy of the repository, with the programs on the path.
func (p *Runner) setup(env *testscript.Env) error {
	name := strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
	y := &pageRun{runner: p, page: p.pages[name], folder: env.WorkDir, background: map[string]*shell{}}
	env.Values[pageRunKey{}] = y
	env.Defer(y.close)
	if err := copyTree(p.Root, y.folder); err != nil {
		return err
	}
	if err := errors.Join(y.assignAddress(), y.setEnvironment(env)); err != nil {
		return err
	}
	if p.Programs == "" || y.buildsPrograms() {
		return nil
	}
	return os.CopyFS(filepath.Join(y.folder, "bin"), os.DirFS(p.Programs))
}

// buildsPrograms reports whether the page's commands build the programs.
func (y *pageRun) buildsPrograms() bool {
	return slices.ContainsFunc(y.page.Blocks, func(b Block) bool {
		return b.isRun() && strings.Contains(b.Text, "go build")
	})
}

// notCopied are the folders that the copy of the repository leaves out.
var notCopied = []string{"bin", "journal", "testdata", "node_modules"}

func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(from, path)
		excluded := strings.HasPrefix(d.Name(), ".") || slices.Contains(notCopied, d.Name())
		switch {
		case err != nil || relative == ".":
			return err
		case excluded && d.IsDir():
			return fs.SkipDir
		case d.IsDir():
			return os.MkdirAll(filepath.Join(to, relative), 0o755)
		case excluded || !d.Type().IsRegular() || strings.HasSuffix(relative, "_test.go"):
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, relative), raw, 0o644)
	})
}

var portPattern = regexp.MustCompile(regexp.QuoteMeta(pageAddress) + `:(\d+)`)

// assignAddress finds an address at which all the page's ports are free, and writes it to the example's
// files.
func (y *pageRun) assignAddress() error {
	files, ports := map[string][]byte{}, map[string]bool{}
	addPorts := func(text string) {
		for _, one := range portPattern.FindAllStringSubmatch(text, -1) {
			ports[one[1]] = true
		}
	}
	err := filepath.WalkDir(filepath.Join(y.folder, example), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		raw, err := os.ReadFile(path)
		if err == nil && bytes.Contains(raw, []byte(pageAddress)) {
			files[path] = raw
			addPorts(string(raw))
		}
		return err
	})
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for _, b := range y.page.Blocks {
		addPorts(b.Before + b.Text)
	}
	if y.addr, y.addressLock, err = lockAddress(ports); err != nil {
		return err
	}
	for path, raw := range files {
		raw = bytes.ReplaceAll(raw, []byte(pageAddress), []byte(y.addr))
		if err := os.WriteFile(path, raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// lockPort is the port that reserves an address: a run listens on it until its end.
const lockPort = "20999"

// lockAddress finds a loopback address with all of the ports free, and reserves it until the returned
// listener is closed. The address is as long as the one in the pages, which keeps columns aligned.
func lockAddress(ports map[string]bool) (addr string, lock net.Listener, err error) {
	for range 100 {
		var r [3]byte
		_, _ = rand.Read(r[:]) // never fails
		addr = fmt.Sprintf("127.%d.%d.%d", 1+r[0]%9, 1+r[1]%9, 1+r[2]%9)
		if lock, err = net.Listen("tcp", net.JoinHostPort(addr, lockPort)); err != nil {
			continue
		}
		for port := range ports {
			var l net.Listener
			if l, err = net.Listen("tcp", net.JoinHostPort(addr, port)); err != nil {
				break
			}
			_ = l.Close()
		}
		if err == nil {
			return addr, lock, nil
		}
		_ = lock.Close()
	}
	return "", nil, fmt.Errorf("no loopback address has the page's ports free: %w", err)
}

// setEnvironment extends testscript's clean environment with the user's settings of the go command, the
// copy's programs on the path, and a curl configuration that prints what a terminal shows.
func (y *pageRun) setEnvironment(env *testscript.Env) error {
	out, err := exec.Command("go", "env", "GOCACHE", "GOMODCACHE", "GOPROXY", "GOSUMDB", "GOFLAGS",
		"GOTOOLCHAIN").Output()
	if err != nil {
		return err
	}
	user := strings.Split(string(out), "\n")
	env.Setenv("GOCACHE", user[0])
	env.Setenv("GOMODCACHE", user[1])
	env.Setenv("GOPROXY", user[2])
	env.Setenv("GOSUMDB", user[3])
	env.Setenv("GOTOOLCHAIN", user[5])
	// Each copy has another path: with -trimpath, the build cache of one run serves the next.
	env.Setenv("GOFLAGS", strings.TrimSpace(user[4]+" -trimpath"))
	env.Setenv("PATH", filepath.Join(y.folder, "bin")+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Setenv("CURL_HOME", env.Getenv("TMPDIR"))
	env.Setenv("LC_ALL", "C")
	y.env = env.Vars
	return os.WriteFile(filepath.Join(env.Getenv("TMPDIR"), ".curlrc"), []byte("silent\nshow-error\n"), 0o600)
}

// runBlock is the script command that runs one block of the script's page.
func (p *Runner) runBlock(ts *testscript.TestScript, _ bool, args []string) {
	y := ts.Value(pageRunKey{}).(*pageRun)
	i, err := strconv.Atoi(args[0])
	ts.Check(err)
	if err := y.run(&y.page.Blocks[i]); err != nil {
		ts.Fatalf("%v", err)
	}
}

// run stops and starts what the block's directives name, then runs the block.
func (y *pageRun) run(b *Block) error {
	for _, name := range b.Stops {
		s := y.background[name]
		if s == nil {
			return fmt.Errorf("no background command %q is running", name)
		}
		delete(y.background, name)
		if err := s.stop(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if err := y.startRequired(b.RequiredBackground); err != nil {
		return err
	}
	if b.Before != "" {
		if out, code, err := y.runShell("set -e\n" + b.Before); err != nil {
			return fmt.Errorf("commands of before: %w\n%s", err, out)
		} else if code != 0 {
			return fmt.Errorf("commands of before: exit code %d\n%s", code, out)
		}
	}
	all, err := b.parseSteps()
	if err != nil {
		return err
	}
	if b.BackgroundName != "" {
		return y.startBackground(b.BackgroundName, all)
	}
	if b.Kind == Commands {
		out, code, err := y.runShell("set -e\n" + all[0].command)
		if err == nil && code != b.ExitCode {
			err = fmt.Errorf("exit code %d", code)
		}
		if err != nil {
			return fmt.Errorf("%w\n%s%s", err, all[0].command, out)
		}
		return nil
	}
	return y.runSteps(all, b.ExitCode)
}

// toRunAddress replaces the page's address by the run's; toPageAddress does the reverse.
func (y *pageRun) toRunAddress(text string) string {
	return strings.ReplaceAll(text, pageAddress, y.addr)
}

func (y *pageRun) toPageAddress(text string) string {
	return strings.ReplaceAll(text, y.addr, pageAddress)
}

// runShell runs commands until they end.
func (y *pageRun) runShell(commands string) (output string, code int, err error) {
	s, err := startShell(y.toRunAddress(commands), y.folder, y.env)
	if err != nil {
		return "", 0, err
	}
	err = s.wait()
	output, _ = s.currentOutput()
	return y.toPageAddress(output), s.code, err
}

// exitCodeMark encloses the exit code that the shell prints after each command.
const exitCodeMark = "\x1e"

// runSteps runs commands one after another in one shell, and compares the output and the exit code of
// each.
func (y *pageRun) runSteps(all []step, exitCode int) error {
	var text strings.Builder
	for _, s := range all {
		fmt.Fprintf(&text, "%sprintf '\\036%%d\\036' $?\n", s.command)
	}
	output, _, err := y.runShell(text.String())
	if err != nil {
		return fmt.Errorf("%w\n%s", err, output)
	}
	parts := strings.Split(output, exitCodeMark)
	var problems []error
	for i, s := range all {
		if 2*i+1 >= len(parts) {
			return fmt.Errorf("the shell ended during\n  %s\n%s", strings.TrimSpace(s.command), parts[len(parts)-1])
		}
		wantCode := 0
		if i == len(all)-1 {
			wantCode = exitCode
		}
		got := lines(parts[2*i])
		if !outputMatches(s.want, got) {
			problems = append(problems, fmt.Errorf("%s:%d: %w", y.page.Name, s.line, mismatchError(s, got)))
		}
		if code := parts[2*i+1]; code != strconv.Itoa(wantCode) {
			problems = append(problems, fmt.Errorf("%s:%d: %s\nended with exit code %s", y.page.Name, s.line,
				strings.TrimSpace(s.command), code))
		}
	}
	return errors.Join(problems...)
}

// startRequired starts background commands of another page: "PAGE: NAME, NAME".
func (y *pageRun) startRequired(required string) error {
	if required == "" {
		return nil
	}
	page, names, _ := strings.Cut(required, ":")
	for name := range strings.SplitSeq(names, ",") {
		name = strings.TrimSpace(name)
		blocks := y.runner.pages[scriptName(page)].Blocks
		i := slices.IndexFunc(blocks, func(b Block) bool { return b.BackgroundName == name })
		if i < 0 {
			return fmt.Errorf("no background command %q in %q", name, page)
		}
		all, err := blocks[i].parseSteps()
		if err == nil {
			err = y.startBackground(name, all)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// startBackground starts a background command, and waits until its output has all lines that the page
// shows; it may have others.
func (y *pageRun) startBackground(name string, all []step) error {
	if len(all) != 1 || all[0].outputIgnored || len(all[0].want) == 0 {
		return errors.New("a background command must be alone in a console block that shows its output")
	}
	if y.background[name] != nil {
		return fmt.Errorf("background command %q is already running", name)
	}
	s, err := startShell(y.toRunAddress(all[0].command), y.folder, y.env)
	if err != nil {
		return err
	}
	y.background[name] = s
	err = s.waitForOutput(func(output string) bool {
		return containsAll(all[0].want, lines(y.toPageAddress(output)))
	})
	if err != nil {
		output, _ := s.currentOutput()
		return fmt.Errorf("%s:%d: %w: %w", y.page.Name, all[0].line, err,
			mismatchError(all[0], lines(y.toPageAddress(output))))
	}
	return nil
}

// close stops all background commands and releases the address.
func (y *pageRun) close() {
	for _, s := range y.background {
		_ = s.stop() // its error is only that it had to kill the command
	}
	if y.addressLock != nil {
		_ = y.addressLock.Close()
	}
}
