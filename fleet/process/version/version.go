// Package version holds the version of the binaries.
package version

// Version is the release that this tree leads to.
const Version = "0.1.0-dev"
