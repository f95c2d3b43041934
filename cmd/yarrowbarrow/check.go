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

// platformFlag names the platform's file, against which an operators' file is checked.
type platformFlag struct {
	Platform string `name:"platform" type:"existingfile" placeholder:"FILE" help:"The platform's JSON file, to check names and times against."`
}

// read gives the platform's configuration, or nil where none is named.
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

type checkCommand struct {
	platformFlag
	JSON  bool     `name:"json" help:"Write the messages as JSON, for editors."`
	Files []string `name:"files" arg:"" help:"The files, each with all that it includes."`
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
	if err == nil && messages.Errors() > 0 {
		err = errFindings
	}
	return err
}

type fmtCommand struct {
	List  bool     `name:"list" short:"l" help:"List files that are not in their canonical form."`
	Diff  bool     `name:"diff" short:"d" help:"Show what would change."`
	Write bool     `name:"write" short:"w" help:"Write the files, each at once or not at all."`
	Files []string `name:"files" arg:"" optional:"" help:"The files; - or none: standard input."`
}

func (fmtCommand) Help() string {
	return `Includes are not followed. With -l and -d the exit code is 1 where a file would change.

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

// replace writes a file at once or not at all, with the rights that it has. A link stays one.
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

// lineDiff shows the lines that differ between two texts.
func unifiedDiff(path, original, formatted string) string {
	edits := myers.ComputeEdits(span.URIFromPath(path), original, formatted)
	return fmt.Sprint(gotextdiff.ToUnified(path, path+" (formatted)", original, edits))
}
