package main

import "runtime/debug"

// version is the module's, or the commit that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	out := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && (out == "" || out == "(devel)") {
			out = s.Value
		}
	}
	return out + " " + info.GoVersion
}
