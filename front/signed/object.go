package signed

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/conditional"
	"turnfork.dev/turnfork/internal/http1"
	"turnfork.dev/turnfork/token"
)

// objectPath is a path /v1/CLASS/OBJECT/PART. The query may contain the object's group and size, covered by the signature.
type objectPath struct {
	class, object, part string
}

const objectDigits = 16

func parseObjectPath(p string) (o objectPath, ok bool) {
	rest, ok := strings.CutPrefix(p, "/v1/")
	if !ok || !token.Canonical(p) {
		return o, false
	}
	parts := strings.Split(rest, "/")
	if len(parts) != 3 {
		return o, false
	}
	return objectPath{parts[0], parts[1], parts[2]}, true
}

// parseObjectID parses the ID of an object as it is written in paths.
func parseObjectID(text string) (uint64, error) {
	object, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != objectDigits {
		return 0, fmt.Errorf("the object is no %d hexadecimal digits", objectDigits)
	}
	return object, nil
}

// request builds the request for the core.
func (o objectPath) request(q token.Query, m *http1.Message) (a core.Request, err error) {
	a.Class, a.ObjectName = o.class, o.object
	if a.Object, err = parseObjectID(o.object); err != nil {
		return a, err
	}
	part, ok := token.ParseDecimal(o.part, 32) // accepts one spelling for each part only
	if !ok {
		return a, fmt.Errorf("the part is no number")
	}
	a.Part = uint32(part)
	if v := q.Get("group"); v != "" {
		group, err := strconv.ParseUint(v, 10, 16)
		if err != nil {
			return a, fmt.Errorf("group: no number")
		}
		a.Group = uint16(group)
	}
	if v := q.Get("kb"); v != "" {
		if a.SizeKB, err = strconv.ParseFloat(v, 64); err != nil || !(a.SizeKB >= 0 && a.SizeKB < 1e9) {
			return a, fmt.Errorf("kb: no size")
		}
	}
	if v := m.Header["x-ttl-ms"]; v != "" {
		if a.Remaining, err = strconv.ParseFloat(v, 64); err != nil || !(a.Remaining >= 1 && a.Remaining < 1e9) {
			return a, fmt.Errorf("X-Ttl-Ms: no time")
		}
	}
	if m.Header["if-match"] == "" { // If-Match is evaluated when the response arrives, which must then be complete
		a.ClientETag = singleETag(m.Header["if-none-match"])
	}
	var txn [8]byte
	rand.Read(txn[:])
	a.Txn = hex.EncodeToString(txn[:])
	return a, nil
}

// singleETag returns the tag of the client's copy if there is exactly one: it is sent to the endpoint. A list or a star is
// compared when the response arrives.
func singleETag(v string) string {
	tags, ok := conditional.ParseTags(v)
	if !ok || len(tags) != 1 {
		return ""
	}
	for _, c := range []byte(tags[0].Text) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-') {
			return ""
		}
	}
	return tags[0].Text
}
