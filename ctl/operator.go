package ctl

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/apiclient"
)

// secretMode makes a file accessible only to its owner.
const secretMode = 0o600

func (a *App) operatorCommands() *cli.Command {
	return a.group("operator", "keys of operators", a.leaf(leaf{
		name: "new-key", usage: "generate a token with its hash, and a key pair for signing off bundles", args: []string{"NAME"},
		example: "siskinctl operator new-key --private-key carol.pem carol",
		flags: []cli.Flag{&cli.StringFlag{
			Name: flagPrivateKey, Required: true, Usage: "new `FILE` for the private key that signs off bundles",
		}},
		run: a.newOperatorKey,
	}))
}

func (a *App) newOperatorKey(_ context.Context, cmd *cli.Command) error {
	key, err := apiclient.NewOperatorKey(cmd.Args().First())
	if err != nil {
		return usagef("%v", err)
	}
	if err := writePrivateKey(cmd.String(flagPrivateKey), key); err != nil {
		return err
	}
	settings := key.Settings()
	return a.print(cmd, result{
		json: map[string]any{"key": key.Bearer(), "settings": map[string]string{
			"name": settings.GetName(), "token_sha256": settings.GetTokenSha256(), "sign_off_key": settings.GetSignOffKey(),
		}},
		header: []string{"FIELD", "VALUE"},
		rows: [][]string{
			{"key (secret, shown once)", key.Bearer()},
			{"settings: name", settings.GetName()},
			{"settings: token_sha256", settings.GetTokenSha256()},
			{"settings: sign_off_key", settings.GetSignOffKey()},
		},
	})
}

// writePrivateKey writes the key to a new file; it fails if the file exists.
func writePrivateKey(path string, key apiclient.OperatorKey) error {
	text, err := apiclient.EncodePrivateKey(key.SignOff)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretMode)
	if err != nil {
		return eris.Wrap(err, "create private key file")
	}
	if _, err := file.Write(text); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "write private key")
	}
	return eris.Wrap(file.Close(), "write private key")
}
