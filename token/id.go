package token

import (
	"encoding/base64"
	"strings"
	"unicode/utf8"
)

// encodedIDPrefix begins the text form of an id that is not text.
const encodedIDPrefix = "base64:"

// TextID returns the text form of an id, by which the token is claimed and revoked. An id that is not valid UTF-8, such as a binary
// cti, is encoded, as the replicated state and the operator's calls are JSON. Different ids have different text forms.
func TextID(id string) string {
	if utf8.ValidString(id) && !strings.HasPrefix(id, encodedIDPrefix) {
		return id
	}
	return encodedIDPrefix + base64.RawURLEncoding.EncodeToString([]byte(id))
}

// jsonID returns an id as it is after encoding and decoding it as JSON: each byte that is not valid UTF-8 is replaced.
func jsonID(id string) string { return string([]rune(id)) }

// SetID sets the ID of a grant to the text form of the id that its token carries.
func (g *Grant) SetID(id string) {
	g.ID = TextID(id)
	if g.ID != id {
		g.EarlierID = jsonID(id)
	}
}
