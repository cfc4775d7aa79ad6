// Package cwfault provides the typed errors that all parts share.
package cwfault

import (
	"errors"
	"fmt"
)

// Code classifies an error by what its receiver can do about it.
type Code string

// The closed set of codes.
const (
	Invalid      Code = "invalid"       // the input is wrong; nothing was changed
	Unauthorized Code = "unauthorized"  // the token is missing or lacks the role
	NotFound     Code = "not-found"     // the named thing does not exist
	Conflict     Code = "conflict"      // the expected version is not the present one
	TooLarge     Code = "too-large"     // the input exceeds a stated limit
	Refused      Code = "refused"       // the receiver will never carry out this order
	Unavailable  Code = "unavailable"   // nothing was done; it may be tried again
	Indefinite   Code = "indefinite"    // the effect is not known
	Internal     Code = "internal"      // an invariant or an assumption failed
	StaleEpoch   Code = "stale-epoch"   // the fencing token is older than the present one
	NotSupported Code = "not-supported" // the receiver has no such operation
)

// Error is a typed cause; wrappers keep it reachable by errors.As.
type Error struct {
	Code    Code
	Message string
}

// Error returns the message with its code.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// New returns a typed error with a formatted message.
func New(code Code, format string, args ...any) error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of the typed cause of err, Internal if it has none, and "" for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Code
	}
	return Internal
}

// MessageOf returns the message of the typed cause of err, or its whole text if it has none.
func MessageOf(err error) string {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Message
	}
	return err.Error()
}
