package ctl

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/server"
	"siskinstack.example/siskinstack/standin/site"
)

const (
	flagSite        = "site"
	flagListen      = "listen"
	flagSettingsDir = "settings-dir"
	flagFirstPort   = "first-port"

	settingsDirMode = 0o700
	// requestDuration is how long a request takes on the stand-in platform.
	requestDuration = 20 * time.Millisecond
)

func siteFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagSite, Value: site.Names()[0], Usage: "`SITE`: " + strings.Join(site.Names(), " or "),
		Validator: func(name string) error {
			_, err := site.ByName(name)
			return err
		},
	}
}

func (a *App) platformCommand() *cli.Command {
	return a.leaf(leaf{
		name: "platform", usage: "run only the stand-in platform and its endpoints, for siskind processes started separately",
		example: "siskinctl platform --site jadeleaf --listen 127.0.0.1:7000 --settings-dir /tmp/jadeleaf",
		flags: []cli.Flag{
			siteFlag(),
			&cli.StringFlag{Name: flagListen, Value: "127.0.0.1:7000", Usage: "`IP:PORT` of the platform"},
			&cli.StringFlag{Name: flagSettingsDir, Usage: "write settings, first bundle and operator keys into `DIR`"},
			&cli.IntFlag{Name: flagFirstPort, Usage: "first `PORT` of the entry VMs, three each; 0 selects free ones"},
		},
		run: a.runPlatform,
	})
}

func (a *App) runPlatform(ctx context.Context, cmd *cli.Command) error {
	chosen, err := site.ByName(cmd.String(flagSite))
	if err != nil {
		return usagef("%v", err)
	}
	platform, err := server.Start(server.Options{
		Site: chosen, Clock: clock.Real{}, Listen: cmd.String(flagListen),
		Plan:            standin.CommandPlan,
		RequestDuration: func(string, []byte) time.Duration { return requestDuration },
	})
	if err != nil {
		return err
	}
	defer platform.Close()
	_, _ = fmt.Fprintln(a.Err, "platform", chosen.Name, "on", platform.URL)
	if dir := cmd.String(flagSettingsDir); dir != "" {
		if err := a.writeSettings(dir, chosen, cmd.Int(flagFirstPort), platform.URLFor); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// writeSettings writes the settings of the entry VMs, the operators' keys and the first bundle.
func (a *App) writeSettings(dir string, chosen site.Site, firstPort int, urlFor func(string) string) error {
	if err := os.MkdirAll(dir, settingsDirMode); err != nil {
		return eris.Wrap(err, "create settings directory")
	}
	listens, err := chosen.Addresses(firstPort)
	if err != nil {
		return err
	}
	operators, err := a.writeOperators(dir)
	if err != nil {
		return err
	}
	for _, settings := range chosen.Settings(listens, operators, urlFor) {
		if err := a.writeFile(filepath.Join(dir, settings.GetVm()+".json"), settings); err != nil {
			return err
		}
	}
	return a.writeFile(filepath.Join(dir, "bundle-1.json"), chosen.Bundle(1))
}

// operatorNames are an author, a reviewer and a signer of bundles, who must be different operators.
var operatorNames = []string{"alice", "bob", "carol"}

func (a *App) writeOperators(dir string) ([]*siskinv1.Operator, error) {
	var operators []*siskinv1.Operator
	for _, name := range operatorNames {
		key, err := apiclient.NewOperatorKey(name)
		if err != nil {
			return nil, err
		}
		privateFile, keyFile := filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
		if err := os.RemoveAll(privateFile); err != nil {
			return nil, eris.Wrap(err, "replace private key")
		}
		if err := writePrivateKey(privateFile, key); err != nil {
			return nil, err
		}
		if err := os.WriteFile(keyFile, []byte(key.Bearer()+"\n"), secretMode); err != nil {
			return nil, eris.Wrap(err, "write operator key")
		}
		_, _ = fmt.Fprintln(a.Out, privateFile)
		_, _ = fmt.Fprintln(a.Out, keyFile)
		operators = append(operators, key.Settings())
	}
	return operators, nil
}

func (a *App) writeFile(path string, content proto.Message) error {
	text, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Marshal(content)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(path, append(text, '\n'), secretMode); err != nil {
		return eris.Wrap(err, "write settings")
	}
	_, _ = fmt.Fprintln(a.Out, path)
	return nil
}
