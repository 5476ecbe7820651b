package sim

import (
	"testing"
	"time"

	"sorrelloom/tool/deploy"
)

func BenchmarkQuietDay(b *testing.B) {
	d, err := deploy.Get("reseller")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		Play(Env{Seed: 1, Deployment: d, For: 30 * time.Second})
	}
}
