package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

// secretSize is the size of a fleet key and of a token, in bytes.
const secretSize = 32

type newKeys struct {
	FleetKey    string `json:"fleet-key"`
	Token       string `json:"token"`
	TokenSHA256 string `json:"token-sha256"`
}

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "generate credentials",
		Commands: []*cli.Command{{
			Name:   "new",
			Usage:  "print a new fleet key, and a new operator's token with its hash",
			Flags:  []cli.Flag{jsonFlag()},
			Action: keysNew,
		}},
	}
}

func keysNew(_ context.Context, c *cli.Command) error {
	k := newKeys{FleetKey: newSecret(), Token: newSecret()}
	sum := sha256.Sum256([]byte(k.Token))
	k.TokenSHA256 = hex.EncodeToString(sum[:])
	w := c.Root().Writer
	if c.Bool("json") {
		raw, err := json.Marshal(k)
		printLine(w, "%s", raw)
		return oops.Wrap(err)
	}
	printLine(w, "fleet key:             %s", k.FleetKey)
	printLine(w, "operator's token:      %s", k.Token)
	printLine(w, "SHA-256 of the token:  %s", k.TokenSHA256)
	return nil
}

// newSecret returns random bytes in hexadecimal.
func newSecret() string {
	raw := make([]byte, secretSize)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
