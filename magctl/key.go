package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// runKey prints the digest of a key, for the configuration. The key itself stands in a
// file that only its owner can read, or comes from standard input: a terminal, a command
// line and a shell's history are read by others.
func runKey(_ context.Context, args []string, out io.Writer) int {
	f := newFlags("key", "key [-new FILE]")
	path := f.set.String("new", "", "make a key and write it to this `file`, which must not exist")
	if _, code, ok := f.parse(args, 0, 0); !ok {
		return code
	}
	key, err := obtainKey(*path)
	if err != nil {
		return fail(err)
	}
	_, _ = fmt.Fprintln(out, magno.Digested(key))
	return exitOK
}

// givenKey is a new key, written to path, or the first line of standard input.
func obtainKey(path string) (string, error) {
	if path != "" {
		return newKey(path)
	}
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", errors.Wrap(err, "standard input")
	}
	key := strings.TrimSpace(line)
	if key == "" {
		return "", errors.New("standard input holds no key")
	}
	return key, nil
}

func newKey(path string) (string, error) {
	key := strings.ToLower(rand.Text())
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return "", errors.Wrap(err, "new key")
	}
	if _, err := file.WriteString(key + "\n"); err != nil {
		_ = file.Close()
		return "", errors.Wrap(err, "new key")
	}
	return key, errors.Wrap(file.Close(), "new key")
}
