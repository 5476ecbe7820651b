// Program verdict reads the output of `go test` and compares its failures with the list of known
// failures. It exits with 0 if only listed tests failed, 1 for any other failure, and 2 for
// invalid usage or unreadable files.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"sorrelloom/tool/verdict"
)

const (
	exitPass = iota
	exitFail
	exitUsage
)

func main() { os.Exit(run()) }

func run() int {
	status := flag.Int("status", 0, "exit code of go test")
	list := flag.String("known", "KNOWN-RED.txt", "file with the list of known failures; empty if the file does not exist")
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "verdict: one file with the output of go test is required")
		return exitUsage
	}
	v, err := judge(*status == 0, flag.Arg(0), *list)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		return exitUsage
	}
	for _, line := range v.Lines() {
		fmt.Println(line)
	}
	if !v.Passes() {
		return exitFail
	}
	return exitPass
}

func judge(succeeded bool, outputFile, listFile string) (verdict.Verdict, error) {
	known, err := readKnown(listFile)
	if err != nil {
		return verdict.Verdict{}, err
	}
	output, err := os.Open(outputFile)
	if err != nil {
		return verdict.Verdict{}, err
	}
	defer output.Close()
	failures, err := verdict.ParseOutput(output)
	if err != nil {
		return verdict.Verdict{}, err
	}
	return verdict.Judge(succeeded, failures, known), nil
}

func readKnown(file string) ([]verdict.KnownFailure, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	known, err := verdict.ParseKnown(strings.NewReader(string(text)))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return known, nil
}
