// Command testgate reads the output of "go test -json" and exits with status 1 unless
// the tests passed. Only the failures listed in KNOWN-RED.txt are tolerated.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
)

func main() {
	list := flag.String("known", "KNOWN-RED.txt", "the list of tests that are known to fail")
	flag.Parse()
	os.Exit(run(*list))
}

func run(path string) int {
	text, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	known, err := parseKnown(path, string(text))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	out := bufio.NewWriter(os.Stdout)
	defer out.Flush()
	g := newGate(known, out)
	if err := g.read(os.Stdin); err != nil {
		fmt.Fprintln(out, "testgate:", err)
		return 1
	}
	if !g.verdict() {
		return 1
	}
	return 0
}
