package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarfall/ident"
)

// BenchmarkShedder measures a decision while requests of 74 teams in three classes are refused, at 100 requests a second.
func BenchmarkShedder(b *testing.B) {
	s := NewShedder(rand.New(rand.NewPCG(1, 2)))
	b.ReportAllocs()

	for i := range b.N {
		s.Admit(epoch.Add(time.Duration(i)*10*time.Millisecond), Demand{Class: ident.Classes[i%3], Team: ident.TeamID(fmt.Sprint(i % 74))}, 0.5)
	}
}
