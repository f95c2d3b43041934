package main

import "runtime/debug"

// version returns the module version, or the commit for a development build, followed by the Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && (revision == "" || revision == "(devel)") {
			revision = setting.Value
		}
	}
	return revision + " " + info.GoVersion
}
