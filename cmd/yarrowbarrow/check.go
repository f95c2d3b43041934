package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"github.com/hexops/gotextdiff"
	"github.com/hexops/gotextdiff/myers"
	"github.com/hexops/gotextdiff/span"

	"yarrowbarrow/config"
	"yarrowbarrow/config/lang"
)

// platformFlag is the flag for the platform's file. Names and times in an operators' file are checked against its configuration.
type platformFlag struct {
	Platform string `name:"platform" type:"existingfile" placeholder:"FILE" help:"The platform's JSON file, which names and times are checked against."`
}

// readPlatform reads the platform's file, and returns nil values without an error if the flag is not set.
func (p platformFlag) readPlatform() (*config.Config, *lang.Platform, error) {
	if p.Platform == "" {
		return nil, nil, nil
	}
	raw, err := os.ReadFile(p.Platform)
	if err != nil {
		return nil, nil, err
	}
	cfg, err := config.Read(raw, "", "")
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", p.Platform, err)
	}
	platform := cfg.Platform()
	return &cfg, &platform, nil
}

// checkCommand checks operators' files and prints what is wrong with them.
type checkCommand struct {
	platformFlag
	JSON  bool     `name:"json" help:"Print the messages as JSON, for use by editors."`
	Files []string `name:"files" arg:"" help:"Operators' files to check, each with its includes."`
}

func (checkCommand) Help() string {
	return `  yarrowbarrow check deploy/operator.conf
  yarrowbarrow check --platform deploy/example.json --json deploy/operator.conf`
}

func (c *checkCommand) Run(out *output) error {
	_, platform, err := c.readPlatform()
	if err != nil {
		return err
	}
	var messages lang.Messages
	for _, path := range c.Files {
		messages = append(messages, lang.Load(path, platform).Messages...)
	}
	if c.JSON {
		err = messages.JSON(out)
	} else {
		err = messages.Print(out)
	}
	if err == nil && messages.ErrorCount() > 0 {
		err = errFindings
	}
	return err
}

// fmtCommand formats operators' files. Without -l, -d or -w it prints the formatted text.
type fmtCommand struct {
	List  bool     `name:"list" short:"l" help:"List files whose formatting differs from the canonical form."`
	Diff  bool     `name:"diff" short:"d" help:"Print a diff of the changes."`
	Write bool     `name:"write" short:"w" help:"Write the result back to the files, each one atomically."`
	Files []string `name:"files" arg:"" optional:"" help:"Files to format. Without any, or with -, standard input is read."`
}

func (fmtCommand) Help() string {
	return `Includes are not followed. With -l or -d, but without -w, the exit code is 1 if any file would change.

  yarrowbarrow fmt -l deploy/*.conf deploy/rooms/*.conf
  yarrowbarrow fmt -w deploy/operator.conf`
}

func (f *fmtCommand) Run(out *output) error {
	if len(f.Files) == 0 || len(f.Files) == 1 && f.Files[0] == "-" {
		raw, err := io.ReadAll(os.Stdin)
		if err != nil {
			return err
		}
		formatted, err := lang.Format("standard input", raw)
		if err != nil {
			return err
		}
		_, err = out.Write(formatted)
		return err
	}
	changed := false
	for _, path := range f.Files {
		original, formatted, err := lang.FormatFile(path)
		if err != nil {
			return err
		}
		unchanged := bytes.Equal(original, formatted)
		if f.List && !unchanged {
			fmt.Fprintln(out, path)
		}
		if f.Diff && !unchanged {
			fmt.Fprint(out, unifiedDiff(path, string(original), string(formatted)))
		}
		if f.Write && !unchanged {
			if err := replaceFile(path, formatted); err != nil {
				return err
			}
		}
		if !f.List && !f.Diff && !f.Write {
			if _, err := out.Write(formatted); err != nil {
				return err
			}
		}
		changed = changed || !unchanged
	}
	if changed && (f.List || f.Diff) && !f.Write {
		return errFindings
	}
	return nil
}

// replaceFile atomically replaces the content of a file and keeps its permissions. If path is a symbolic link, the target is replaced
// and the link stays.
func replaceFile(path string, content []byte) error {
	target, err := filepath.EvalSymlinks(path)
	if err != nil {
		return err
	}
	info, err := os.Stat(target)
	if err != nil {
		return err
	}
	return renameio.WriteFile(target, content, info.Mode().Perm())
}

// unifiedDiff returns a unified diff between the original and the formatted text of a file.
func unifiedDiff(path, original, formatted string) string {
	edits := myers.ComputeEdits(span.URIFromPath(path), original, formatted)
	return fmt.Sprint(gotextdiff.ToUnified(path, path+" (formatted)", original, edits))
}
