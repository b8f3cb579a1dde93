package doctest

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// step is a command of a block, with the output that the page shows for it.
type step struct {
	line          int
	command       string
	want          []string
	outputIgnored bool // output is not compared
}

const prompt = "$ "

// parseSteps splits a block into its commands. A backslash at the end of a line continues the command on
// the next line.
func (b *Block) parseSteps() ([]step, error) {
	body := b.Text
	for _, pair := range b.Replacements {
		body = strings.ReplaceAll(body, pair[0], pair[1])
	}
	if b.Kind != Console {
		return []step{{line: b.Line, command: body, outputIgnored: true}}, nil
	}
	var all []step
	continued := false // whether the line continues a command
	for i, line := range strings.Split(strings.TrimRight(body, "\n"), "\n") {
		command, hasPrompt := strings.CutPrefix(line, prompt)
		switch {
		case continued:
			last := &all[len(all)-1]
			last.command += line + "\n"
		case hasPrompt:
			all = append(all, step{line: b.Line + i, command: command + "\n"})
			line = command
		case len(all) == 0:
			return nil, fmt.Errorf("a console block starts with output: %q", line)
		default:
			last := &all[len(all)-1]
			last.want = append(last.want, line)
			continue
		}
		continued = strings.HasSuffix(line, `\`)
	}
	return all, nil
}

// wildcard matches any text in a page's output: a part of a line, or, alone on a line, any number of
// lines.
const wildcard = "..."

// lines splits output into lines, without the white space at their ends that a terminal does not show.
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

// lineMatches reports whether a line of output matches a line of the page.
func lineMatches(shown, line string) bool {
	if !strings.Contains(shown, wildcard) {
		return strings.TrimRight(shown, " \t") == line
	}
	parts := strings.Split(strings.TrimRight(shown, " \t"), wildcard)
	for i := range parts {
		parts[i] = regexp.QuoteMeta(parts[i])
	}
	return regexp.MustCompile(`^` + strings.Join(parts, `.+`) + `$`).MatchString(line)
}

// containsAll reports whether the output has each line that the page shows, in any order and with other
// lines between: background commands do several things concurrently.
func containsAll(shown, got []string) bool {
	for _, one := range shown {
		if one != wildcard && !slices.ContainsFunc(got, func(line string) bool { return lineMatches(one, line) }) {
			return false
		}
	}
	return true
}

// outputMatches reports whether output matches what a page shows. It tries all ways in which wildcards can
// match lines, in time proportional to the product of both lengths.
func outputMatches(shown, got []string) bool {
	// reachable[i] reports whether the first i lines of the page match the output so far.
	reachable := make([]bool, len(shown)+1)
	reachable[0] = true
	skip := func() {
		for i, one := range shown {
			reachable[i+1] = reachable[i+1] || reachable[i] && one == wildcard
		}
	}
	skip()
	for _, line := range got {
		next := make([]bool, len(shown)+1)
		for i, one := range shown {
			if one == wildcard {
				next[i+1] = next[i+1] || reachable[i+1]
			} else {
				next[i+1] = reachable[i] && lineMatches(one, line)
			}
		}
		reachable = next
		skip()
	}
	return reachable[len(shown)]
}

// mismatchError returns an error that shows the expected and the actual output.
func mismatchError(s step, got []string) error {
	return fmt.Errorf("the page shows for\n  %s\n%s\nbut the output was\n%s", strings.TrimSpace(s.command),
		indented(s.want), indented(got))
}

func indented(all []string) string {
	if len(all) == 0 {
		return "  (nothing)"
	}
	return "  | " + strings.Join(all, "\n  | ")
}
