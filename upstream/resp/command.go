package resp

import (
	"fmt"
	"strconv"

	"turnfork.dev/turnfork/core"
)

const probePrefix = "p-"

func probeID(n uint64) string { return probePrefix + strconv.FormatUint(n, 10) }

// encodeGet encodes an attempt as a GET whose client waits for the given number of milliseconds more.
func encodeGet(s core.AttemptRequest, remaining float64) []byte {
	f := make([]byte, 0, 160)
	f = append(f, "lane="...)
	f = append(f, s.Class...)
	f = append(f, ",name="...)
	f = append(f, s.ObjectName...)
	f = append(f, ",piece="...)
	f = strconv.AppendUint(f, uint64(s.Part), 10)
	if s.Deadline > 0 { // rounded down: never more than the client has left
		f = append(f, ttlField...)
		f = strconv.AppendInt(f, int64(remaining), 10)
	}
	if s.Fill {
		f = append(f, ",via="...)
		f = append(f, fmt.Sprintf("s-%08x", s.Source)...)
	}
	if s.CacheRank > 0 {
		f = append(f, ",tier="...)
		f = strconv.AppendUint(f, uint64(s.CacheRank), 10)
	}
	if s.MaxAge > 0 { // rounded down, but at least 1: 0 would select the limit of the class, which is wider
		f = append(f, ",fresh="...)
		f = strconv.AppendInt(f, max(1, int64(s.MaxAge)), 10)
	}
	switch {
	case s.JoinFill && s.CachedOnly:
		f = append(f, ",opts=j+h"...)
	case s.JoinFill:
		f = append(f, ",opts=j"...)
	case s.CachedOnly:
		f = append(f, ",opts=h"...)
	}
	if s.IdempotencyKey != "" {
		f = append(f, ",dedupe="...)
		f = append(f, s.IdempotencyKey...)
	}
	if s.ClientETag != "" {
		f = append(f, ",known="...)
		f = append(f, s.ClientETag...)
	}
	return appendCommand(make([]byte, 0, len(f)+len(s.Body)+96), "GET", s.Txn, string(f), string(s.Body))
}

// appendCommand appends a command as an array of bulk strings.
func appendCommand(b []byte, words ...string) []byte {
	b = append(b, '*')
	b = strconv.AppendInt(b, int64(len(words)), 10)
	b = append(b, '\r', '\n')
	for _, w := range words {
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(w)), 10)
		b = append(b, '\r', '\n')
		b = append(b, w...)
		b = append(b, '\r', '\n')
	}
	return b
}
