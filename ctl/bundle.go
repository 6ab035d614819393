package ctl

import (
	"context"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/bundle"
)

const (
	flagPrivateKey = "private-key"
	flagContent    = "content-sha256"
	flagReplaces   = "replaces"
)

func (a *App) bundleCommands() *cli.Command {
	content := &cli.StringFlag{
		Name: flagContent, Required: true, Usage: "`HASH` of the content to approve, as shown by bundle diff",
	}
	return a.group("bundle", "propose, review and sign off the configuration",
		a.leaf(leaf{
			name: "propose", usage: "propose the bundle in a JSON file; the caller becomes author",
			args: []string{"FILE"}, example: "siskinctl bundle propose bundle.json", run: a.proposeBundle,
			flags: []cli.Flag{&cli.StringFlag{
				Name: flagReplaces, Usage: "`HASH` of the content of an unsigned proposal of the same version to replace",
			}},
		}),
		a.leaf(leaf{
			name: "diff", usage: "compare a proposal with the bundle in force", args: []string{"VERSION"},
			example: "siskinctl bundle diff 7", run: a.diffBundle,
		}),
		a.leaf(leaf{
			name: "review", usage: "approve a proposal; the caller becomes reviewer", args: []string{"VERSION"},
			example: "siskinctl bundle review --content-sha256 9f86d0 7", flags: []cli.Flag{content}, run: a.reviewBundle,
		}),
		a.leaf(leaf{
			name: "sign-off", usage: "sign a reviewed proposal, which puts it in force; the caller becomes signer",
			args:    []string{"VERSION"},
			example: "siskinctl bundle sign-off --wait --private-key carol.pem --content-sha256 9f86d0 7",
			flags: append(waitFlags("wait until the bundle is in force on every reachable VM"), content,
				&cli.StringFlag{Name: flagPrivateKey, Required: true, Usage: "PEM `FILE` of the signer's Ed25519 key"}),
			run: a.signOffBundle,
		}),
		a.leaf(leaf{
			name: "status", usage: "show the bundle in force on each VM",
			example: "siskinctl bundle status", run: a.bundleStatus,
		}),
	)
}

func versionArg(cmd *cli.Command) (int64, error) {
	version, err := strconv.ParseInt(cmd.Args().First(), 10, 64)
	if err != nil || version <= 0 {
		return 0, usagef("version %q is not a positive number", cmd.Args().First())
	}
	return version, nil
}

func (a *App) proposeBundle(ctx context.Context, cmd *cli.Command) error {
	content, err := readBundle(cmd.Args().First())
	if err != nil {
		return err
	}
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (*siskinv1.BundleProposal, error) {
		return c.ProposeBundle(ctx, content, cmd.String(flagReplaces))
	}, showProposal)
}

// readBundle reads a bundle and validates it as entry VMs do.
func readBundle(path string) (*siskinv1.Bundle, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, usagef("read %s: %v", path, err)
	}
	parsed, findings, err := bundle.Parse(text)
	if err != nil {
		return nil, err
	}
	return parsed, findingsError(path, findings)
}

func showProposal(p *siskinv1.BundleProposal) (result, error) {
	text, err := message(p)
	return result{
		json: text, header: []string{"VERSION", "AUTHOR", "REVIEWER", "SIGNER", "CONTENT SHA256"},
		rows: [][]string{{
			cell(p.GetBundle().GetVersion()), p.GetAuthor(), p.GetReviewer(), p.GetSigner(), p.GetContentSha256(),
		}},
	}, err
}

// bundleDiff is the JSON output of bundle diff: the hash of a proposal's content, and its changes.
type bundleDiff struct {
	ContentSHA256 string             `json:"content_sha256"`
	Changes       []apiclient.Change `json:"changes"`
}

func (a *App) diffBundle(ctx context.Context, cmd *cli.Command) error {
	version, err := versionArg(cmd)
	if err != nil {
		return err
	}
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (bundleDiff, error) {
		proposal, err := c.Bundle(ctx, version)
		if err != nil {
			return bundleDiff{}, err
		}
		changes, err := c.DiffBundle(ctx, version)
		return bundleDiff{proposal.GetContentSha256(), append([]apiclient.Change{}, changes...)}, err
	}, func(diff bundleDiff) (result, error) {
		output := result{json: diff, header: []string{"PATH", "FROM", "TO"}}
		for _, change := range diff.Changes {
			output.rows = append(output.rows, []string{change.Path, change.From, change.To})
		}
		output.rows = append(output.rows, []string{"content sha256", "", diff.ContentSHA256})
		return output, nil
	})
}

func (a *App) reviewBundle(ctx context.Context, cmd *cli.Command) error {
	version, err := versionArg(cmd)
	if err != nil {
		return err
	}
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (*siskinv1.BundleProposal, error) {
		return c.ReviewBundle(ctx, version, cmd.String(flagContent))
	}, showProposal)
}

func (a *App) signOffBundle(ctx context.Context, cmd *cli.Command) error {
	version, err := versionArg(cmd)
	if err != nil {
		return err
	}
	signer, err := apiclient.OperatorName(cmd.String(flagKey))
	if err != nil {
		return usagef("%v", err)
	}
	text, err := os.ReadFile(cmd.String(flagPrivateKey))
	if err != nil {
		return usagef("read private key: %v", err)
	}
	private, err := apiclient.DecodePrivateKey(text)
	if err != nil {
		return usagef("%s: %v", cmd.String(flagPrivateKey), err)
	}
	err = callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (*siskinv1.BundleProposal, error) {
		proposal, err := c.Bundle(ctx, version)
		if err != nil {
			return nil, err
		}
		if proposal.GetContentSha256() != cmd.String(flagContent) {
			return nil, eris.Errorf("content has changed: its hash is %s now", proposal.GetContentSha256())
		}
		signature, err := apiclient.Sign(proposal, signer, private)
		if err != nil {
			return nil, err
		}
		return c.SignOffBundle(ctx, version, proposal.GetContentSha256(), signature)
	}, showProposal)
	if err != nil || !cmd.Bool(flagWait) {
		return err
	}
	return a.waitInForce(ctx, cmd, version)
}

func (a *App) waitInForce(ctx context.Context, cmd *cli.Command, version int64) error {
	c, err := client(cmd)
	if err != nil {
		return err
	}
	defer c.Close()
	return a.poll(ctx, cmd, func(ctx context.Context, progress *progressPrinter) (bool, error) {
		status, err := c.BundleStatus(ctx)
		if err != nil {
			return false, err
		}
		inForce, reachable := 0, 0
		for _, vm := range status.VMs {
			if !vm.Reachable {
				continue
			}
			reachable++
			if int64(vm.Version) >= version {
				inForce++
			}
		}
		progress.show("version %d is in force on %d of %d reachable VMs", version, inForce, reachable)
		return reachable > 0 && inForce == reachable, nil
	})
}

func (a *App) bundleStatus(ctx context.Context, cmd *cli.Command) error {
	return callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (apiclient.BundleStatus, error) {
		return c.BundleStatus(ctx)
	}, func(status apiclient.BundleStatus) (result, error) {
		output := result{json: status, header: []string{"VM", "VERSION", "AGE MS", "IN FORCE AFTER MS", "REACHABLE"}}
		for _, vm := range status.VMs {
			output.rows = append(output.rows, []string{
				vm.VM, cell(vm.Version), cell(vm.AgeMs), cell(vm.InForceAfterMs), cell(vm.Reachable),
			})
		}
		return output, nil
	})
}
