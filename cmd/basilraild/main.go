// Command basilraild is an entry instance.
package main

func main() {}
