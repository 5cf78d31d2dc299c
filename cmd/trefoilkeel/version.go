package main

import (
	"fmt"
	"runtime/debug"
)

// versionCommand prints the module version.
type versionCommand struct{}

// Run prints the version that the build recorded.
func (versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Println("trefoilkeel", version)
	return err
}
