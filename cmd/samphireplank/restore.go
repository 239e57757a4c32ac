package main

import (
	"context"
)

const restoreHelp = "Publishes the set of an earlier generation as a new generation and waits until it is in force on every entry VM. " +
	"The history command lists the generations whose sets are kept."

type restoreCommand struct {
	platformOptions
	publicationOptions
	Arguments struct {
		Generation uint64 `positional-arg-name:"GENERATION" description:"The generation whose set is published again"`
	} `positional-args:"yes" required:"yes"`
}

// Run publishes the earlier set and waits for it.
func (c *restoreCommand) Run(ctx context.Context, e *environment) error {
	client, err := c.connect(e)
	if err != nil {
		return err
	}
	record, err := c.publisher(client, c.PlatformTimeout).Restore(ctx, c.Arguments.Generation, c.Reason)
	if err != nil {
		return err
	}
	return waitAndPrint(ctx, e, client, publishResult{Published: true, Record: record}, c.Wait)
}
