package cwadmin

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwfault"
)

// Role is the set of operations that an operator may use.
type Role string

// Roles.
const (
	RoleRead  Role = "read"  // all read operations
	RoleWrite Role = "write" // read operations, changes of the configuration and drains of hosts
)

// ParseRole returns the role named s, or an error if there is none.
func ParseRole(s string) (Role, error) {
	if r := Role(s); slices.Contains([]Role{RoleRead, RoleWrite}, r) {
		return r, nil
	}
	return "", cwfault.New(cwfault.Invalid, "unknown role %q", s)
}

// Covers reports whether an operator with role r may use an operation that requires the role needed.
func (r Role) Covers(needed Role) bool { return r == RoleWrite || r == needed }

// Operator is one operator with the hash of the bearer token. The token itself is not stored.
type Operator struct {
	Name        string
	Role        Role
	TokenSHA256 [sha256.Size]byte
}

// localOperator is the name of the operator in the log and the audit records if the listener requires no tokens.
const localOperator = "local"

// authenticate returns the operator whose bearer token the request has, and the operator's role. It compares the hash of the token with
// that of every operator in constant time, so that response times reveal nothing about tokens. Without configured
// operators, every request is by localOperator with the write role.
func (a *admin) authenticate(ctx *fasthttp.RequestCtx) (operator string, role Role, err error) {
	if len(a.opts.Operators) == 0 {
		return localOperator, RoleWrite, nil
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok || token == "" {
		return "", "", cwfault.New(cwfault.Unauthorized, "a bearer token is needed")
	}
	sum := sha256.Sum256([]byte(token))
	for _, o := range a.opts.Operators {
		if subtle.ConstantTimeCompare(sum[:], o.TokenSHA256[:]) == 1 {
			operator, role = o.Name, o.Role
		}
	}
	if operator == "" {
		return "", "", cwfault.New(cwfault.Unauthorized, "the token is not known")
	}
	return operator, role, nil
}
