// Command marjorambench runs stand-in servers, load, the demo and the
// measurements. It is a tool of the developers and is not shipped.
package main

func main() {}
