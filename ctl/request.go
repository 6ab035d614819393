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
		name: "send", usage: "send a request to a service and print its answer", args: []string{"SERVICE"},
		example: `siskinctl request send --body '{"slide":7}' --idempotent orders`,
		flags: []cli.Flag{
			&cli.StringFlag{Name: flagBody, Usage: "`TEXT` of the request"},
			&cli.StringFlag{Name: flagBodyFile, Usage: "`FILE` that holds the request"},
			&cli.StringFlag{Name: flagContentType, Value: "application/json", Usage: "content `TYPE` of the request"},
			&cli.BoolFlag{Name: flagIdempotent, Usage: "a second run has no further effect"},
			&cli.StringFlag{Name: flagRequestKey, Usage: "`KEY` by which a second try does not run again"},
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
	}, func(answer apiclient.Response) (result, error) {
		status = answer.Status
		return showAnswer(answer), nil
	})
	if err == nil && status >= http.StatusBadRequest {
		return eris.Errorf("the service answered %d %s", status, http.StatusText(status))
	}
	return err
}

func showAnswer(answer apiclient.Response) result {
	return result{
		json: map[string]any{
			"request_id": answer.RequestID, "status": answer.Status,
			"content_type": answer.ContentType, "body": string(answer.Body),
		},
		header: []string{"REQUEST", "STATUS", "BODY"},
		rows:   [][]string{{answer.RequestID, cell(answer.Status), string(answer.Body)}},
	}
}
