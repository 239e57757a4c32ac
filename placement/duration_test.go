package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a fixed weight of declared run times: rough ones must count little, good ones much, and few long jobs
// must not shift what is expected of all.
func TestDurationModel(t *testing.T) {
	is := is.New(t)
	const usual = 100 * time.Millisecond
	rough, good := errorOfModel(usual, 0.9), errorOfModel(usual, 0.1)
	is.True(rough < 0.45) // the run times themselves spread by 0.4
	is.True(good < 0.15)
	m := &durationModel{}
	for i := range 200 {
		length := usual
		if i%20 == 0 {
			length *= 9
		}
		m.observe(length, length)
	}
	is.True(m.usual() < 2*usual)
}

// errorOfModel returns the mean error, as a logarithm, of predictions for jobs whose declared times have the given error.
func errorOfModel(usual time.Duration, declaredError float64) float64 {
	r := rand.New(rand.NewPCG(1, 1))
	m, sum, count := &durationModel{}, 0.0, 0
	for i := range 2000 {
		actual := float64(usual) * math.Exp(0.4*r.NormFloat64())
		declared := time.Duration(actual * math.Exp(declaredError*r.NormFloat64()))
		if i > 200 {
			sum, count = sum+math.Abs(math.Log(float64(m.predict(declared))/actual)), count+1
		}
		m.observe(declared, time.Duration(actual))
	}
	return sum / float64(count)
}
