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

// Player runs the commands of pages, each page by itself in a copy of the repository, side by side.
type Player struct {
	Root string // the repository's
	// Programs is a folder of programs built from it, for pages that do not build them themselves.
	Programs string

	pages map[string]Page
}

// onLoopback is the address in the pages, and in the files of the example. Each page has it stand for an
// address of its own of the 127.0.0.0/8 that are all this machine, so that pages run side by side, beside
// whoever follows one by hand, with the page's ports.
const onLoopback = "127.0.0.1"

// example is the folder whose files name the address.
const example = "example"

// Build builds the programs of the repository into a folder, as README.md says to.
func (p *Player) Build(folder string) error {
	cmd := exec.Command("go", "build", "-trimpath", "-ldflags=-linkmode=external", "-o", folder+"/", "./cmd/...")
	cmd.Dir = p.Root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("building the programs: %w\n%s", err, out)
	}
	p.Programs = folder
	return nil
}

// Params is what testscript runs: a script for each page, in files in a folder. What a page begins is ended
// with its script.
func (p *Player) Params(folder string, pages []Page) (testscript.Params, error) {
	p.pages = map[string]Page{}
	params := testscript.Params{
		Setup: p.setup,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"block": p.block},
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

// scriptName is a page's among the scripts.
func scriptName(page string) string { return strings.NewReplacer("/", "-", ".md", "").Replace(page) }

// script has a line for each block that is run.
func (p Page) script() (text string, runs bool) {
	text = "[!exec:bash] skip 'there is no bash'\n"
	for i, b := range p.Blocks {
		if b.runs() {
			if strings.Contains(b.Text, "curl ") {
				text += "[!exec:curl] skip 'there is no curl'\n"
			}
			text += fmt.Sprintf("# %s:%d\nblock %d\n", p.Name, b.Line, i)
			runs = true
		}
	}
	return text, runs
}

// runs tells whether a block is of commands that are run.
func (b *Block) runs() bool { return (b.Kind == Commands || b.Kind == Console) && b.NotRun == "" }

// play is a page's run.
type play struct {
	player *Player
	page   Page
	folder string
	env    []string
	addr   string            // in place of onLoopback
	claim  net.Listener      // holds it
	beside map[string]*shell // what goes on, by name
}

type playKey struct{}

// setup makes the state that a page begins with: a copy of the repository, and programs on the path.
func (p *Player) setup(env *testscript.Env) error {
	name := strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
	y := &play{player: p, page: p.pages[name], folder: env.WorkDir, beside: map[string]*shell{}}
	env.Values[playKey{}] = y
	env.Defer(y.close)
	if err := copyTree(p.Root, y.folder); err != nil {
		return err
	}
	if err := errors.Join(y.address(), y.environment(env)); err != nil {
		return err
	}
	if p.Programs == "" || y.builds() {
		return nil
	}
	return os.CopyFS(filepath.Join(y.folder, "bin"), os.DirFS(p.Programs))
}

// builds tells whether the page has its reader build the programs.
func (y *play) builds() bool {
	return slices.ContainsFunc(y.page.Blocks, func(b Block) bool {
		return b.runs() && strings.Contains(b.Text, "go build")
	})
}

// leftOut is what a reader's copy of the repository needs nothing of.
var leftOut = []string{"bin", "journal", "testdata", "node_modules"}

func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		below, err := filepath.Rel(from, path)
		hidden := strings.HasPrefix(d.Name(), ".") || slices.Contains(leftOut, d.Name())
		switch {
		case err != nil || below == ".":
			return err
		case hidden && d.IsDir():
			return fs.SkipDir
		case d.IsDir():
			return os.MkdirAll(filepath.Join(to, below), 0o755)
		case hidden || !d.Type().IsRegular() || strings.HasSuffix(below, "_test.go"):
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, below), raw, 0o644)
	})
}

var portForm = regexp.MustCompile(regexp.QuoteMeta(onLoopback) + `:(\d+)`)

// address finds an address at which all the page's ports are free, and writes it into the example's files.
func (y *play) address() error {
	files, ports := map[string][]byte{}, map[string]bool{}
	note := func(text string) {
		for _, one := range portForm.FindAllStringSubmatch(text, -1) {
			ports[one[1]] = true
		}
	}
	err := filepath.WalkDir(filepath.Join(y.folder, example), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		raw, err := os.ReadFile(path)
		if err == nil && bytes.Contains(raw, []byte(onLoopback)) {
			files[path] = raw
			note(string(raw))
		}
		return err
	})
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for _, b := range y.page.Blocks {
		note(b.Before + b.Text)
	}
	if y.addr, y.claim, err = claimAddress(ports); err != nil {
		return err
	}
	for path, raw := range files {
		raw = bytes.ReplaceAll(raw, []byte(onLoopback), []byte(y.addr))
		if err := os.WriteFile(path, raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// claimPort is held at an address while a page has it.
const claimPort = "20999"

// claimAddress finds an address as long as the one in the pages, so that what is set in columns stays so,
// with all of the ports free, and holds it until the listener is closed.
func claimAddress(ports map[string]bool) (addr string, claim net.Listener, err error) {
	for range 100 {
		var r [3]byte
		_, _ = rand.Read(r[:]) // never fails
		addr = fmt.Sprintf("127.%d.%d.%d", 1+r[0]%9, 1+r[1]%9, 1+r[2]%9)
		if claim, err = net.Listen("tcp", net.JoinHostPort(addr, claimPort)); err != nil {
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
			return addr, claim, nil
		}
		_ = claim.Close()
	}
	return "", nil, fmt.Errorf("no address of loopback has the page's ports free: %w", err)
}

// environment is testscript's clean one, with what go needs of the user's, programs of the copy on the path,
// and a curl that shows what it shows in a terminal.
func (y *play) environment(env *testscript.Env) error {
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
	// The copy lies elsewhere each time: with -trimpath, what was built in one is found by the next.
	env.Setenv("GOFLAGS", strings.TrimSpace(user[4]+" -trimpath"))
	env.Setenv("PATH", filepath.Join(y.folder, "bin")+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Setenv("CURL_HOME", env.Getenv("TMPDIR"))
	env.Setenv("LC_ALL", "C")
	y.env = env.Vars
	return os.WriteFile(filepath.Join(env.Getenv("TMPDIR"), ".curlrc"), []byte("silent\nshow-error\n"), 0o600)
}

// block is the script's command for one of its page's.
func (p *Player) block(ts *testscript.TestScript, _ bool, args []string) {
	y := ts.Value(playKey{}).(*play)
	i, err := strconv.Atoi(args[0])
	ts.Check(err)
	if err := y.run(&y.page.Blocks[i]); err != nil {
		ts.Fatalf("%v", err)
	}
}

// run runs a block, after what it says comes first.
func (y *play) run(b *Block) error {
	for _, name := range b.Ends {
		s := y.beside[name]
		if s == nil {
			return fmt.Errorf("nothing of the name %q goes on", name)
		}
		delete(y.beside, name)
		if err := s.end(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if err := y.begun(b.Beside); err != nil {
		return err
	}
	if b.Before != "" {
		if out, code, err := y.shell("set -e\n" + b.Before); err != nil {
			return fmt.Errorf("what comes before: %w\n%s", err, out)
		} else if code != 0 {
			return fmt.Errorf("what comes before: exit code %d\n%s", code, out)
		}
	}
	all, err := b.steps()
	if err != nil {
		return err
	}
	if b.GoesOn != "" {
		return y.begin(b.GoesOn, all)
	}
	if b.Kind == Commands {
		out, code, err := y.shell("set -e\n" + all[0].command)
		if err == nil && code != b.Exits {
			err = fmt.Errorf("exit code %d", code)
		}
		if err != nil {
			return fmt.Errorf("%w\n%s%s", err, all[0].command, out)
		}
		return nil
	}
	return y.steps(all, b.Exits)
}

// here has the page's address stand for the run's, and there the other way round.
func (y *play) here(text string) string  { return strings.ReplaceAll(text, onLoopback, y.addr) }
func (y *play) there(text string) string { return strings.ReplaceAll(text, y.addr, onLoopback) }

// shell runs commands to their end.
func (y *play) shell(commands string) (output string, code int, err error) {
	s, err := run(y.here(commands), y.folder, y.env)
	if err != nil {
		return "", 0, err
	}
	err = s.wait()
	output, _ = s.said()
	return y.there(output), s.code, err
}

// endOf is what the shell writes after each command, with its exit code.
const endOf = "\x1e"

// steps runs commands one after another in one shell, and compares the output of each.
func (y *play) steps(all []step, exits int) error {
	var text strings.Builder
	for _, s := range all {
		fmt.Fprintf(&text, "%sprintf '\\036%%d\\036' $?\n", s.command)
	}
	output, _, err := y.shell(text.String())
	if err != nil {
		return fmt.Errorf("%w\n%s", err, output)
	}
	came := strings.Split(output, endOf)
	var problems []error
	for i, s := range all {
		if 2*i+1 >= len(came) {
			return fmt.Errorf("the shell ended within\n  %s\n%s", strings.TrimSpace(s.command), came[len(came)-1])
		}
		want := 0
		if i == len(all)-1 {
			want = exits
		}
		got := lines(came[2*i])
		if !same(s.shown, got) {
			problems = append(problems, fmt.Errorf("%s:%d: %w", y.page.Name, s.line, differs(s, got)))
		}
		if code := came[2*i+1]; code != strconv.Itoa(want) {
			problems = append(problems, fmt.Errorf("%s:%d: %s\nended with exit code %s", y.page.Name, s.line,
				strings.TrimSpace(s.command), code))
		}
	}
	return errors.Join(problems...)
}

// begun has begun what goes on in another page: "PAGE: NAME, NAME".
func (y *play) begun(beside string) error {
	if beside == "" {
		return nil
	}
	of, names, _ := strings.Cut(beside, ":")
	for name := range strings.SplitSeq(names, ",") {
		name = strings.TrimSpace(name)
		blocks := y.player.pages[scriptName(of)].Blocks
		i := slices.IndexFunc(blocks, func(b Block) bool { return b.GoesOn == name })
		if i < 0 {
			return fmt.Errorf("nothing of the name %q goes on in %q", name, of)
		}
		all, err := blocks[i].steps()
		if err == nil {
			err = y.begin(name, all)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// begin starts what goes on, and waits until it has said all that the page shows, whatever else it says.
func (y *play) begin(name string, all []step) error {
	if len(all) != 1 || all[0].silent || len(all[0].shown) == 0 {
		return errors.New("what goes on is one command in a block of commands and output, which shows what it says")
	}
	if y.beside[name] != nil {
		return fmt.Errorf("%q goes on already", name)
	}
	s, err := run(y.here(all[0].command), y.folder, y.env)
	if err != nil {
		return err
	}
	y.beside[name] = s
	err = s.until(func(output string) bool { return among(all[0].shown, lines(y.there(output))) })
	if err != nil {
		output, _ := s.said()
		return fmt.Errorf("%s:%d: %w: %w", y.page.Name, all[0].line, err, differs(all[0], lines(y.there(output))))
	}
	return nil
}

// close ends all that goes on.
func (y *play) close() {
	for _, s := range y.beside {
		_ = s.end() // killed if need be
	}
	if y.claim != nil {
		_ = y.claim.Close()
	}
}
