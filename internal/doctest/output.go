package doctest

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// A step is a command of a block, with the output that the page shows for it.
type step struct {
	line    int
	command string
	shown   []string
	silent  bool // nothing is said of its output
}

const prompt = "$ "

// steps takes a block of commands apart. A command goes on in the next line after a backslash.
func (b *Block) steps() ([]step, error) {
	body := b.Text
	for _, as := range b.As {
		body = strings.ReplaceAll(body, as[0], as[1])
	}
	if b.Kind != Console {
		return []step{{line: b.Line, command: body, silent: true}}, nil
	}
	var all []step
	more := false // the line goes on with the command
	for i, line := range strings.Split(strings.TrimRight(body, "\n"), "\n") {
		command, begins := strings.CutPrefix(line, prompt)
		switch {
		case more:
			last := &all[len(all)-1]
			last.command += line + "\n"
		case begins:
			all = append(all, step{line: b.Line + i, command: command + "\n"})
			line = command
		case len(all) == 0:
			return nil, fmt.Errorf("a block of commands and output begins with output: %q", line)
		default:
			last := &all[len(all)-1]
			last.shown = append(last.shown, line)
			continue
		}
		more = strings.HasSuffix(line, `\`)
	}
	return all, nil
}

// anything stands in a page for what varies: within a line for some of it, alone for any lines.
const anything = "..."

// lines takes output apart, as a terminal would show it.
func lines(output string) []string {
	all := strings.Split(strings.ReplaceAll(output, "\r", ""), "\n")
	for i := range all {
		all[i] = strings.TrimRight(all[i], " \t")
	}
	for len(all) > 0 && all[len(all)-1] == "" {
		all = all[:len(all)-1]
	}
	return all
}

// like tells whether a line is as the page shows it.
func like(shown, line string) bool {
	if !strings.Contains(shown, anything) {
		return strings.TrimRight(shown, " \t") == line
	}
	parts := strings.Split(strings.TrimRight(shown, " \t"), anything)
	for i := range parts {
		parts[i] = regexp.QuoteMeta(parts[i])
	}
	return regexp.MustCompile(`^` + strings.Join(parts, `.+`) + `$`).MatchString(line)
}

// among tells whether each line that a page shows has come, in any order and with others between: what goes
// on does several things at once.
func among(shown, got []string) bool {
	for _, one := range shown {
		if one != anything && !slices.ContainsFunc(got, func(line string) bool { return like(one, line) }) {
			return false
		}
	}
	return true
}

// same tells whether output is what a page shows. It goes through all ways in which "..." may stand for
// lines, at most lines times lines.
func same(shown, got []string) bool {
	// can[i] is that the lines so far are shown by the first i of what is shown.
	can := make([]bool, len(shown)+1)
	can[0] = true
	skip := func() {
		for i, one := range shown {
			can[i+1] = can[i+1] || can[i] && one == anything
		}
	}
	skip()
	for _, line := range got {
		next := make([]bool, len(shown)+1)
		for i, one := range shown {
			if one == anything {
				next[i+1] = next[i+1] || can[i+1]
			} else {
				next[i+1] = can[i] && like(one, line)
			}
		}
		can = next
		skip()
	}
	return can[len(shown)]
}

// differs says how output differs from what a page shows.
func differs(s step, got []string) error {
	return fmt.Errorf("the page shows for\n  %s\n%s\nand this came\n%s", strings.TrimSpace(s.command),
		indented(s.shown), indented(got))
}

func indented(all []string) string {
	if len(all) == 0 {
		return "  (nothing)"
	}
	return "  | " + strings.Join(all, "\n  | ")
}
