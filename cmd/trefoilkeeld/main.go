// Command trefoilkeeld is the daemon. It runs the roles that its settings name.
package main

func main() {}
