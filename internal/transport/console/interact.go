package console

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/chzyer/readline"
	"github.com/go-faster/errors"
)

// The prompts: outside a batch, in one, and for a further line of a statement.
const (
	prompt         = "corneltiller> "
	promptBatch    = "corneltiller*> "
	promptContinue = "          ...> "
)

// Interact reads statements from the terminal and executes them until the input
// or the context ends. A statement ends with a semicolon at the end of a line,
// or with an empty line. An interrupt discards the statement that is being
// typed. The lines are kept in the history file unless its name is empty.
func (co *Console) Interact(ctx context.Context, history string) error {
	rl, err := readline.NewEx(&readline.Config{Prompt: prompt, HistoryFile: history, Stdout: co.Out})
	if err != nil {
		return errors.Wrap(err, "open terminal")
	}
	defer rl.Close()
	stop := context.AfterFunc(ctx, func() { _ = rl.Close() })
	defer stop()
	var text strings.Builder
	for {
		rl.SetPrompt(co.promptFor(text.Len() > 0))
		line, err := rl.Readline()
		switch {
		case errors.Is(err, readline.ErrInterrupt):
			text.Reset()
			continue
		case errors.Is(err, io.EOF), ctx.Err() != nil:
			return nil
		case err != nil:
			return errors.Wrap(err, "read from terminal")
		}
		text.WriteString(line + "\n")
		if !endsStatement(line) {
			continue
		}
		if err := co.Run(ctx, "terminal", text.String()); err != nil && !printed(err) {
			fmt.Fprintln(co.Out, err)
		}
		text.Reset()
	}
}

func (co *Console) promptFor(continued bool) string {
	switch {
	case continued:
		return promptContinue
	case co.inBatch:
		return promptBatch
	default:
		return prompt
	}
}

// endsStatement reports whether the line ends a statement.
func endsStatement(line string) bool {
	line = strings.TrimSpace(line)
	return line == "" || strings.HasSuffix(line, ";")
}

// printed reports whether the error is that of an outcome, which was already
// printed.
func printed(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknown)
}
