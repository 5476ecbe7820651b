package experiment

import "testing"

func BenchmarkTroubleDay(b *testing.B) {
	deployment, err := PrintShops()
	if err != nil {
		b.Fatal(err)
	}
	policy, _ := FindPolicy(BasePolicy)
	for i := range b.N {
		Play(deployment, DrawDay(DayTrouble, &deployment, uint64(i+1)), policy)
	}
}
