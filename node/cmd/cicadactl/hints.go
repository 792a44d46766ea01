package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/promotion"
)

// explain tells the operator of a promotion or rollback what to do next.
func (a attempt) explain(err error) error {
	var conflict *promotion.ConflictError
	switch {
	case errors.As(err, &conflict):
		return fmt.Errorf("%w\nnothing was changed; the difference leads from your text to the one in force; to replace that one, run again with --base %d", err, conflict.Winner.Revision)
	case errors.Is(err, promotion.ErrUnknown):
		return fmt.Errorf("%w\nrun the same command again with --base %d --id %s: it finds out, and does not apply twice", err, a.base, a.id)
	case errors.Is(err, promotion.ErrNotTried):
		return fmt.Errorf("%w\nnothing was changed; run cicadactl trial FILE, look at it on a trial node, and promote the whole digest that trial prints", err)
	}
	return explainStore(err)
}

// explainTrial tells the operator of a trial what to do next.
func explainTrial(err error) error {
	if errors.Is(err, promotion.ErrUnknown) {
		return Error.New("it is not known whether the trial took effect; run it again: the same text on trial twice does no harm")
	}
	return explainStore(err)
}

// explainStore tells the operator of any other command at the store what to do
// next, where something can be done.
func explainStore(err error) error {
	if errors.Is(err, promotion.ErrNotDone) {
		return Error.Wrap(fmt.Errorf("%w\nthe nodes go on with the document they have; run the same command again when the store answers at --store", err))
	}
	return Error.Wrap(err)
}

// notYet replaces promotion.ErrNoRecord, which names a key of the store, by
// what the operator has left out. Other errors pass through.
func notYet(err error, format string, values ...any) error {
	if errors.Is(err, promotion.ErrNoRecord) {
		return Error.New(format, values...)
	}
	return err
}

// explainNode turns a node's refusal of a call into an error that says how to
// call it instead.
func explainNode(response *http.Response, body []byte, hint string) error {
	text := strings.TrimSpace(string(body))
	err := Error.New("the node answered %s: %s", response.Status, reason(body))
	switch {
	case strings.Contains(text, "not_ready"):
		return fmt.Errorf("%w\ncicadactl status at its operators' address tells more; a new environment needs trial and promote first", err)
	case response.StatusCode == http.StatusUnauthorized:
		return fmt.Errorf("%w\n%s", err, hint)
	case response.StatusCode == http.StatusBadRequest && strings.Contains(text, "HTTPS"):
		return fmt.Errorf("%w\nthis listener speaks TLS: name its authorities with --authorities FILE", err)
	case response.StatusCode == http.StatusNotFound && otherListener(text):
		return fmt.Errorf("%w\n--node is another listener of the node: entry wants the callers' address, the other commands the operators'", err)
	}
	return err
}

// reason is the message of a refusal, or the whole text of an answer that has
// none.
func reason(body []byte) string {
	var refusal outcome.Body
	if json.Unmarshal(body, &refusal) != nil || refusal.Error.Message == "" {
		return strings.TrimSpace(string(body))
	}
	return refusal.Error.Message
}

// explainDial adds what to look at to a call that reached no node.
func explainDial(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w\nno process listens there: is the node up, and is --node its operators' address (for entry: its callers')?", Error.Wrap(err))
	}
	return Error.Wrap(err)
}

// otherListener says whether a text is what a node's listener answers to a call
// that only another of its listeners has.
func otherListener(text string) bool {
	return strings.Contains(text, "unknown_path") || strings.Contains(text, "page not found")
}
