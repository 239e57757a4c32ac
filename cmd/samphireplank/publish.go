package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"samphireplank.example/samphireplank/publication"
)

const publishHelp = "Checks object files, makes them the next generation and waits until it is in force on every entry VM. " +
	"The publication takes effect completely or not at all; of several at the same time one wins and the others are told its author."

// publicationOptions are the flags of commands that publish.
type publicationOptions struct {
	Author string        `long:"author" value-name:"NAME" required:"true" description:"Who publishes; kept in the history"`
	Reason string        `long:"reason" value-name:"TEXT" required:"true" description:"Why; kept in the history"`
	Base   uint64        `long:"base" value-name:"GENERATION" default:"0" description:"Refuse unless this generation is the last one; 0 accepts any"`
	Wait   time.Duration `long:"wait" value-name:"DURATION" default:"8s" description:"Longest wait until the set is in force everywhere; 0s doesn't wait"`
}

func (o publicationOptions) publisher(client platformClient, callTimeout time.Duration) *publication.Publisher {
	return publication.NewPublisher(publication.Config{Store: client, Author: o.Author, ExpectedGeneration: o.Base, CallTimeout: callTimeout})
}

type publishCommand struct {
	platformOptions
	publicationOptions
	Files objectFiles `positional-args:"yes"`
}

// publishResult is an accepted publication.
type publishResult struct {
	Published  bool               `json:"published"` // false when the set was the last one published already
	Record     publication.Record `json:"record"`
	InForce    []vmStatus         `json:"in-force"`
	NotInForce []vmStatus         `json:"not-in-force"`
	Waited     string             `json:"waited"` // a duration
}

// Run publishes the set unless it is the last one published, and waits for it in both cases.
func (c *publishCommand) Run(ctx context.Context, e *environment) error {
	set, err := c.Files.read()
	if err != nil {
		return err
	}
	client, err := c.connect(e)
	if err != nil {
		return err
	}
	head, _, err := publication.ReadHead(ctx, client)
	if err != nil {
		return err
	}
	if head.Generation > 0 && head.Digest == set.Digest() {
		return waitAndPrint(ctx, e, client, publishResult{Record: head.Record}, c.Wait)
	}
	record, err := c.publisher(client, c.PlatformTimeout).Publish(ctx, set, c.Reason)
	if err != nil {
		return err
	}
	return waitAndPrint(ctx, e, client, publishResult{Published: true, Record: record}, c.Wait)
}

// waitAndPrint waits until the record is in force everywhere and prints where it is and where it isn't.
func waitAndPrint(ctx context.Context, e *environment, client platformClient, r publishResult, wait time.Duration) error {
	e.Log.Debug().Str("event", "published").Uint64("generation", r.Record.Generation).Bool("new", r.Published).Send()
	var waitErr error
	started := time.Now()
	if wait > 0 {
		r.InForce, r.NotInForce, waitErr = waitInForce(ctx, client, r.Record.Generation, wait)
	}
	r.Waited = time.Since(started).Round(time.Millisecond).String()
	if err := e.print(r, func(w io.Writer) { printPublished(w, r, wait > 0) }); err != nil {
		return err
	}
	return waitErr
}

func printPublished(w io.Writer, r publishResult, waited bool) {
	if r.Published {
		fmt.Fprintln(w, "Published", recordText(r.Record))
	} else {
		fmt.Fprintln(w, "Nothing to publish, this set is", recordText(r.Record))
	}
	if !waited {
		return
	}
	fmt.Fprintf(w, "In force on %d of %d entry VMs after %s\n", len(r.InForce), len(r.InForce)+len(r.NotInForce), r.Waited)
	for _, vm := range r.NotInForce {
		fmt.Fprintln(w, "  not in force:", vm)
	}
}
