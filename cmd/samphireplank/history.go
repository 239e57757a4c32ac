package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"samphireplank.example/samphireplank/publication"
)

const historyHelp = "Lists the publication in force and the ones before it, newest first. Sets of the listed generations can be restored."

type historyCommand struct {
	platformOptions
	Limit int `long:"limit" value-name:"N" default:"0" description:"List at most the newest N; 0 lists all that are kept"`
}

// Run prints the history.
func (c *historyCommand) Run(ctx context.Context, e *environment) error {
	client, err := c.connect(e)
	if err != nil {
		return err
	}
	records, err := publication.NewPublisher(publication.Config{Store: client}).History(ctx)
	if err != nil {
		return err
	}
	if c.Limit > 0 && len(records) > c.Limit {
		records = records[:c.Limit]
	}
	result := struct {
		Records []publication.Record `json:"records"`
	}{append([]publication.Record{}, records...)}
	return e.print(result, func(w io.Writer) { printHistory(w, records) })
}

func printHistory(w io.Writer, records []publication.Record) {
	if len(records) == 0 {
		fmt.Fprintln(w, "Nothing was published yet.")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GENERATION\tTIME\tAUTHOR\tDIGEST\tREASON")
	for _, r := range records {
		fmt.Fprintf(table, "%d\t%s\t%s\t%.12s\t%s\n", r.Generation, r.Time.Format(time.RFC3339), r.Author, r.Digest, r.Reason)
	}
	_ = table.Flush()
}

func recordText(r publication.Record) string {
	return fmt.Sprintf("generation %d of %s by %s (%s), digest %.12s", r.Generation, r.Time.Format(time.RFC3339), r.Author, r.Reason, r.Digest)
}
