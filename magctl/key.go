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

// runKey prints the digest of a key, for use in the configuration. The key itself is
// written to a file that only its owner can read, or read from standard input, because
// terminals, command lines and shell histories can be read by others.
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
	_, _ = fmt.Fprintln(out, magno.DigestOf(key))
	return exitOK
}

// obtainKey returns a new key that it writes to path, or, without a path, the first
// line of standard input.
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
		return "", errors.New("no key on standard input")
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
