package control

import (
	"testing"
)

// The worked example of the paper's 3.4.1: weights 4:2:1, three outstanding responses.
func TestLeastACCIsSentFirst(t *testing.T) {
	var q fairQueue
	for _, w := range []float64{4, 2, 1} {
		q.addClass(w)
	}
	for class := range 3 {
		q.push(&request{Request: Request{ID: RequestID(class), Class: class}})
	}
	any := make([]int, 3)
	q.charge(0, 20) // A1 of 20 bytes: ACC 20/4 = 5
	if r := q.head(any); r.Class != 1 {
		t.Fatalf("after A1 the head is of class %d, want 1 (ACC 5, 0, 0)", r.Class)
	}
	q.charge(1, 20) // B1: ACC 20/2 = 10
	if r := q.head(any); r.Class != 2 {
		t.Fatalf("after B1 the head is of class %d, want 2 (ACC 5, 10, 0)", r.Class)
	}
	q.charge(2, 10) // C1: ACC 10
	if r := q.head(any); r.Class != 0 {
		t.Fatalf("after C1 the head is of class %d, want 0 (ACC 5, 10, 10)", r.Class)
	}
}

// The example of 3.4.2, and equation 2: a class that was idle rises to the lowest ACC of the others, and never
// falls.
func TestClassAfterIdlePeriod(t *testing.T) {
	var q fairQueue
	for range 4 {
		q.addClass(1)
	}
	for class, acc := range []float64{5, 10, 10, 0} {
		q.classes[class].acc = acc
	}
	q.push(&request{Request: Request{Class: 3}})
	if got := q.classes[3].acc; got != 5 {
		t.Errorf("ACC of the class after its idle period is %v, want 5", got)
	}
	q.classes[0].acc = 30
	q.push(&request{Request: Request{Class: 0}})
	if got := q.classes[0].acc; got != 30 {
		t.Errorf("ACC fell to %v", got)
	}
	// A second request of a class with a backlog does not change its ACC.
	q.classes[1].acc, q.classes[2].acc = 50, 60
	q.push(&request{Request: Request{Class: 3}})
	if got := q.classes[3].acc; got != 5 {
		t.Errorf("ACC of a class with a backlog changed to %v", got)
	}
	// The only class keeps its ACC, as there is no other ACC to rise to.
	var one fairQueue
	one.addClass(1)
	one.charge(0, 7)
	one.push(&request{})
	if got := one.classes[0].acc; got != 7 {
		t.Errorf("the only class's ACC is %v, want 7", got)
	}
}
