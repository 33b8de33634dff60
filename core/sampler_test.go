package core

import (
	"fmt"
	"testing"
)

// At most maxSampledPerSecond requests are traced per second; with a share of 0, none.
func TestSamplerIsBounded(t *testing.T) {
	s := newSampler(1)
	for second := range 3 {
		n := 0
		for i := range 100 {
			if s.sample(fmt.Sprint(second, i), func() float64 { return float64(1000*second + i) }) {
				n++
			}
		}
		if n != maxSampledPerSecond {
			t.Errorf("%d requests are traced in a second", n)
		}
	}
	none := newSampler(0)
	if none.sample("x", func() float64 { return 0 }) {
		t.Error("a request is traced with a share of 0")
	}
}
