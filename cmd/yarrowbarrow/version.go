package main

import "runtime/debug"

// version is the module's, or the commit that it was built from.
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
