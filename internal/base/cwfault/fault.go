// Package cwfault provides the error type shared by all packages.
package cwfault

import (
	"errors"
	"fmt"
)

// Code classifies an error by how its receiver can handle it.
type Code string

// Error codes.
const (
	Invalid      Code = "invalid"       // the input is wrong; nothing was changed
	Unauthorized Code = "unauthorized"  // the token is missing or lacks the role
	NotFound     Code = "not-found"     // the requested object does not exist
	Conflict     Code = "conflict"      // the expected version is not the current one
	TooLarge     Code = "too-large"     // the input exceeds a stated limit
	Refused      Code = "refused"       // the receiver will never execute this request
	Unavailable  Code = "unavailable"   // nothing was done; the request may be retried
	Indefinite   Code = "indefinite"    // the effect is unknown
	Internal     Code = "internal"      // an invariant or an assumption failed
	StaleEpoch   Code = "stale-epoch"   // the fencing token is older than the current one
	NotSupported Code = "not-supported" // the receiver does not implement the operation
)

// Error is an error with a code; wrapped errors expose it through errors.As.
type Error struct {
	Code    Code
	Message string
	// Disconnected is true if the receiver has refused or ended the connection, as a process does that ends.
	Disconnected bool
}

// Error returns the message with its code.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// New returns an Error with a formatted message.
func New(code Code, format string, args ...any) error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of the Error in the chain of err, Internal if there is none, and "" for nil.
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

// IsDisconnected reports whether the receiver of a call has refused or ended the connection.
func IsDisconnected(err error) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Disconnected
}

// MessageOf returns the message of the Error in the chain of err, or the whole text if there is none.
func MessageOf(err error) string {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Message
	}
	return err.Error()
}
