// Package version holds the version of the binaries.
package version

// Version is the version under development.
const Version = "0.1.0-dev"
