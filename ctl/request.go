package ctl

import (
	"context"
	"net/http"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinstack.example/siskinstack/apiclient"
)

const (
	flagBody        = "body"
	flagBodyFile    = "body-file"
	flagContentType = "content-type"
	flagIdempotent  = "idempotent"
	flagUrgency     = "urgency"
)

func (a *App) requestCommands() *cli.Command {
	return a.group("request", "send requests to services", a.leaf(leaf{
		name: "send", usage: "send a request to a service and print its response", args: []string{"SERVICE"},
		example: `siskinctl request send --body '{"slide":7}' --idempotent orders`,
		flags: []cli.Flag{
			&cli.StringFlag{Name: flagBody, Usage: "`TEXT` of the request"},
			&cli.StringFlag{Name: flagBodyFile, Usage: "`FILE` that holds the request"},
			&cli.StringFlag{Name: flagContentType, Value: "application/json", Usage: "content `TYPE` of the request"},
			&cli.BoolFlag{Name: flagIdempotent, Usage: "a second run has no further effect"},
			&cli.StringFlag{Name: flagRequestKey, Usage: "`KEY` that keeps a repeated request from running again"},
			&cli.StringFlag{Name: flagUrgency, Usage: "`CLASS`: urgent, normal or can_wait"},
		},
		run: a.sendRequest,
	}))
}

func (a *App) sendRequest(ctx context.Context, cmd *cli.Command) error {
	body := []byte(cmd.String(flagBody))
	if file := cmd.String(flagBodyFile); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return usagef("read body: %v", err)
		}
		body = text
	}
	var status int
	err := callOnce(a, ctx, cmd, func(ctx context.Context, c *apiclient.Client) (apiclient.Response, error) {
		return c.Send(ctx, apiclient.Request{
			Service: cmd.Args().First(), Body: body, ContentType: cmd.String(flagContentType),
			Idempotent: cmd.Bool(flagIdempotent), RequestKey: cmd.String(flagRequestKey),
			Urgency: cmd.String(flagUrgency), Timeout: cmd.Duration(flagTimeout),
		})
	}, func(response apiclient.Response) (result, error) {
		status = response.Status
		return showResponse(response), nil
	})
	if err == nil && status >= http.StatusBadRequest {
		return eris.Errorf("the service responded with status %d %s", status, http.StatusText(status))
	}
	return err
}

func showResponse(response apiclient.Response) result {
	return result{
		json: map[string]any{
			"request_id": response.RequestID, "status": response.Status,
			"content_type": response.ContentType, "body": string(response.Body),
		},
		header: []string{"REQUEST", "STATUS", "BODY"},
		rows:   [][]string{{response.RequestID, cell(response.Status), string(response.Body)}},
	}
}
