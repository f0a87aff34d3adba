package console

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/chzyer/readline"
	"github.com/go-faster/errors"
)

// The prompts.
const (
	prompt         = "corneltiller> "
	promptBatch    = "corneltiller*> "
	promptContinue = "          ...> "
)

// Interact reads statements from the terminal until the end of the input. A
// statement ends with a semicolon or an empty line. What was typed is kept in
// the history file, if one is named.
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
		if !ended(line) {
			continue
		}
		if err := co.Run(ctx, "terminal", text.String()); err != nil && !told(err) {
			fmt.Fprintln(co.Out, err)
		}
		text.Reset()
	}
}

func (co *Console) promptFor(continued bool) string {
	switch {
	case continued:
		return promptContinue
	case co.open:
		return promptBatch
	default:
		return prompt
	}
}

// ended reports whether the line ends a statement.
func ended(line string) bool {
	line = strings.TrimSpace(line)
	return line == "" || strings.HasSuffix(line, ";")
}

// told reports whether the outcome was printed already.
func told(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknown)
}
