// Package cat implements the dialect of the Common Access Token (CTA-5007): a CWT (RFC 8392) in a COSE_Mac0 or COSE_Sign1
// message (RFC 9052), in the query, a header or a cookie.
package cat

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
	"turnfork.dev/turnfork/token"
)

// Names under which a request carries a token.
const (
	Param  = "CAT" // query parameter and cookie
	Header = "CTA-Common-Access-Token"
)

// CBOR tags of COSE messages, of CWT and of addresses (RFC 9164), then COSE header parameters and algorithms.
const (
	tagMac0     = 17
	tagSign1    = 18
	tagCWT      = 61
	tagIPv4     = 52
	tagIPv6     = 54
	headerAlg   = 1
	headerKeyID = 4
	algHS256    = 5
	algES256    = -7
	algEdDSA    = -8
)

// Keys of the claims in IANA's registry of CWT claims.
const (
	claimIss       = 1
	claimSub       = 2
	claimAud       = 3
	claimExp       = 4
	claimNbf       = 5
	claimIat       = 6
	claimCti       = 7
	claimReplay    = 308 // catreplay
	claimVersion   = 310 // catv
	claimNetworkIP = 311 // catnip
	claimURI       = 312 // catu
	claimMethods   = 313 // catm
	claimHeaders   = 315 // cath
	claimRenewal   = 323 // catr
	firstCATClaim  = 308 // CTA-5007: an unknown claim in this range might restrict the token
	lastCATClaim   = 323

	claimFirstExp = -71316 // private use (RFC 8392, 9.1.1): exp of the first token, in tokens that are renewed
)

const (
	maxTokenBytes = 8 << 10
	maxListItems  = 32
)

// algs are the COSE algorithm identifiers.
var algs = map[string]int64{"HS256": algHS256, "ES256": algES256, "EdDSA": algEdDSA}

var (
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 64, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden, IntDec: cbor.IntDecConvertSignedOrFail,
	}.DecMode())
	encMode   = must(cbor.CoreDetEncOptions().EncMode())
	base64URL = base64.RawURLEncoding.Strict()
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Dialect implements token.Dialect and token.Renewer.
type Dialect struct{}

// Kind returns "cat".
func (Dialect) Kind() token.Kind { return token.CAT }

// LoadKey requires a secret of at least 32 bytes for HS256, and a key pair for ES256 and EdDSA.
func (Dialect) LoadKey(k token.Key) (token.Material, error) {
	return k.LoadByAlgorithm(map[string]token.KeyType{"ES256": token.P256, "EdDSA": token.Ed25519})
}

// Find returns the token in the query, otherwise the one in the header, otherwise the one in the cookie.
func (Dialect) Find(q *token.Request, _ []*token.LoadedKey) (token.FoundToken, bool) {
	if t := q.Query.Get(Param); t != "" {
		return token.FoundToken{Text: t, Params: []string{Param}}, true
	}
	if t := q.HeaderValue(Header); t != "" {
		return token.FoundToken{Text: t, Source: token.InHeader, Name: Header}, true
	}
	t := q.CookieValue(Param)
	return token.FoundToken{Text: t, Source: token.InCookie}, t != ""
}

// Open authenticates a token.
func (Dialect) Open(_ *token.Request, c token.FoundToken, keys token.Keys) (g token.Grant, err error) {
	if len(c.Text) > maxTokenBytes {
		return g, token.Reject(token.Malformed, "the token is too long")
	}
	tag, m, err := decode(c.Text)
	if err != nil {
		return g, token.Reject(token.Malformed, "no CWT")
	}
	var protected map[int64]any
	if err := decMode.Unmarshal(m.Protected, &protected); err != nil {
		return g, token.Reject(token.Malformed, "no protected header")
	}
	for name := range protected {
		if name != headerKeyID && name != headerAlg {
			return g, token.Reject(token.BadClaim, "a header that is not understood")
		}
	}
	for name := range m.Unprotected { // unprotected headers are not authenticated
		if name != headerKeyID {
			return g, token.Reject(token.BadClaim, "a header that is not understood")
		}
	}
	id, ok := protected[headerKeyID].([]byte)
	if !ok {
		id, _ = m.Unprotected[headerKeyID].([]byte)
	}
	key, err := keys.Lookup(string(id))
	if err != nil {
		return g, err
	}
	wantTag := uint64(tagSign1)
	if key.Alg == "HS256" {
		wantTag = tagMac0
	}
	if alg, _ := protected[headerAlg].(int64); alg != algs[key.Alg] || tag != wantTag {
		return g, token.Reject(token.BadSignature, "the algorithm is not the key's")
	}
	if !verify(key, &m) {
		return g, token.Reject(token.BadSignature, "the signature is wrong")
	}
	var claims map[int64]any
	if err := decMode.Unmarshal(m.Payload, &claims); err != nil {
		return g, token.Reject(token.Malformed, "the claims can't be read")
	}
	r := claimReader{claims: claims}
	g = r.grant(key, c.Params)
	g.DialectClaims = claims
	if g.ID == "" {
		g.ID = token.DerivedID(string(m.Payload))
	}
	return g, r.err
}
