package main

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/jessevdk/go-flags"
)

// helpWidth is the width of wrapped help text in characters.
const helpWidth = 96

// writeHelp writes the help of the program, or of the command that was named. The library's own help puts the
// descriptions into a column that long flag names leave only a few characters wide.
func writeHelp(w io.Writer, parser *flags.Parser) {
	if parser.Active == nil {
		writeProgramHelp(w, parser)
		return
	}
	c := parser.Active
	usage := "samphireplank " + c.Name + " [FLAG...]"
	for _, arg := range c.Args() {
		usage += " " + argumentName(arg)
	}
	fmt.Fprintf(w, "Usage: %s\n\n%s\n", usage, wrap(c.LongDescription, ""))
	if len(c.Args()) > 0 {
		fmt.Fprintln(w, "\nArguments:")
	}
	for _, arg := range c.Args() {
		fmt.Fprintf(w, "  %s\n%s\n", argumentName(arg), wrap(arg.Description+".", "      "))
	}
	fmt.Fprintln(w, "\nFlags:")
	writeFlags(w, c.Group)
	writeGlobalFlags(w, parser)
}

func writeProgramHelp(w io.Writer, parser *flags.Parser) {
	fmt.Fprintf(w, "Usage: samphireplank COMMAND [FLAG...] [ARGUMENT...]\n\n%s\n\nCommands:\n", wrap(parser.LongDescription, ""))
	for _, c := range parser.Commands() {
		fmt.Fprintf(w, "  %-12s %s\n", c.Name, c.ShortDescription)
	}
	writeGlobalFlags(w, parser)
	fmt.Fprintln(w, "\nRun samphireplank COMMAND --help for the arguments and flags of a command.")
}

func writeGlobalFlags(w io.Writer, parser *flags.Parser) {
	fmt.Fprintln(w, "\nFlags of all commands:")
	for _, g := range parser.Groups() {
		writeFlags(w, g)
	}
}

func writeFlags(w io.Writer, g *flags.Group) {
	for _, o := range g.Options() {
		if o.LongName != "" && o.LongName != "help" && !o.Hidden {
			fmt.Fprintf(w, "  %s\n%s\n", flagName(o), wrap(flagText(o), "      "))
		}
	}
	for _, sub := range g.Groups() {
		writeFlags(w, sub)
	}
}

func argumentName(arg *flags.Arg) string {
	if arg.Required > 0 && arg.RequiredMaximum != 1 {
		return arg.Name + "..."
	}
	return arg.Name
}

func flagName(o *flags.Option) string {
	name := "--" + o.LongName
	switch {
	case o.Field().Type.Kind() == reflect.Bool, o.Field().Type.Kind() == reflect.Func:
		return name
	case len(o.Choices) > 0:
		return name + "=" + strings.Join(o.Choices, "|")
	case o.ValueName != "":
		return name + "=" + o.ValueName
	}
	return name + "=VALUE"
}

// flagText is the description with what the library knows about the flag.
func flagText(o *flags.Option) string {
	text := strings.TrimSuffix(o.Description, ".") + "."
	if o.Required {
		text += " Required."
	}
	if len(o.Default) > 0 {
		text += " Default: " + strings.Join(o.Default, ", ") + "."
	}
	if o.EnvDefaultKey != "" {
		text += " Environment: " + o.EnvDefaultKey + "."
	}
	return text
}

// wrap breaks text into indented lines and keeps its paragraphs.
func wrap(text, indent string) string {
	var paragraphs []string
	for paragraph := range strings.SplitSeq(text, "\n\n") {
		var lines []string
		line := ""
		for _, word := range strings.Fields(paragraph) {
			if line != "" && len(indent)+len(line)+1+len(word) > helpWidth {
				lines = append(lines, indent+line)
				line = ""
			}
			line = strings.TrimSpace(line + " " + word)
		}
		paragraphs = append(paragraphs, strings.Join(append(lines, indent+line), "\n"))
	}
	return strings.Join(paragraphs, "\n\n")
}
