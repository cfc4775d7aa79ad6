package cwadmin

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwfault"
)

// Role says what an operator may do.
type Role string

// The closed set of roles.
const (
	RoleRead  Role = "read"  // look at everything
	RoleWrite Role = "write" // also change the configuration and drain hosts
)

// ParseRole returns the role named s and rejects what it does not know.
func ParseRole(s string) (Role, error) {
	if r := Role(s); slices.Contains([]Role{RoleRead, RoleWrite}, r) {
		return r, nil
	}
	return "", cwfault.New(cwfault.Invalid, "unknown role %q", s)
}

// Covers reports whether the holder of r may do what needs the given role.
func (r Role) Covers(needed Role) bool { return r == RoleWrite || r == needed }

// Operator is one holder of a token; the token itself is not kept.
type Operator struct {
	Name        string
	Role        Role
	TokenSHA256 [sha256.Size]byte
}

// localOperator is who calls a listener that asks for no token.
const localOperator = "local"

// authorise returns the holder of the request's bearer token; it compares with every operator in constant time.
func (a *admin) authorise(ctx *fasthttp.RequestCtx) (who string, role Role, err error) {
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
			who, role = o.Name, o.Role
		}
	}
	if who == "" {
		return "", "", cwfault.New(cwfault.Unauthorized, "the token is not known")
	}
	return who, role, nil
}
