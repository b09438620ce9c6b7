// Command routing measures routing policies on seeded loads.
package main

func main() {}
