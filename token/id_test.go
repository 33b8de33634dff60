package token

import (
	"encoding/json"
	"testing"
)

// Guards against two tokens with one name: ids that are not text, or look like an encoded one, have text forms of their own that
// survive JSON.
func TestTextIDsDiffer(t *testing.T) {
	ids := []string{"n", "", "é", "\ufffd", "\x80", "\x81", "\x80\x80", "\xed\xa0\x80", "base64:gA", "base64:", "base64:YmFzZTY0Og", "gA", "\x00", "a/b"}
	seen := map[string]string{}
	for _, id := range ids {
		text := TextID(id)
		if other, taken := seen[text]; taken {
			t.Errorf("%q and %q have the text form %q", id, other, text)
		}
		seen[text] = id
		encoded, err := json.Marshal(text)
		var decoded string
		if err == nil {
			err = json.Unmarshal(encoded, &decoded)
		}
		if err != nil || decoded != text {
			t.Errorf("%q: its text form %q is %q after JSON: %v", id, text, decoded, err)
		}
	}
}

// The earlier form of an id must be the one that versions without text forms stored, which was replaced by JSON.
func TestEarlierID(t *testing.T) {
	for _, id := range []string{"n", "\x80", "a\xffb\xfe\xfd", "\xed\xa0\x80", "base64:gA", "\xf0\x9f"} {
		encoded, err := json.Marshal(id)
		var stored string
		if err == nil {
			err = json.Unmarshal(encoded, &stored)
		}
		if err != nil {
			t.Fatal(err)
		}
		var g Grant
		g.SetID(id)
		earlier := g.EarlierID
		if earlier == "" {
			earlier = g.ID
		}
		if earlier != stored {
			t.Errorf("%q: the earlier form is %q, but %q was stored", id, earlier, stored)
		}
	}
}
