// Package buildinfo tells which version of the program runs.
package buildinfo

import "runtime/debug"

// release is the release version, set with -ldflags -X; empty in other builds.
var release string

// unknownVersion is the version of a build without a release and outside a repository.
const unknownVersion = "dev"

// shortRevisionLength is the number of characters of a commit that Version returns.
const shortRevisionLength = 12

// modifiedSuffix marks a build of a work tree with uncommitted changes.
const modifiedSuffix = "-dirty"

// Version returns the release version of this build, or else the commit that it was built from, or
// else "dev".
func Version() string {
	if release != "" {
		return release
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	return versionOf(info.Settings)
}

// versionOf returns the commit that the build settings name, or else "dev".
func versionOf(settings []debug.BuildSetting) string {
	revision, suffix := "", ""
	for _, setting := range settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			suffix = modifiedSuffix
		}
	}
	if revision == "" {
		return unknownVersion
	}
	return revision[:min(len(revision), shortRevisionLength)] + suffix
}
