package placement

import (
	"math"
	"time"
)

// durationModel predicts run times of a route from declared ones: a linear regression of the logarithms over recent
// jobs. Where declarations are good, it follows them; where they are rough, it returns the usual run time.
type durationModel struct {
	weight, sumX, sumY, sumXX, sumXY float64
	observations                     int
}

// prediction is the predicted run time of a job after a number of observations, 0 if there is none.
type prediction struct {
	observations int
	duration     time.Duration
}

const (
	// durationMemory is the weight that a job keeps after each later one.
	durationMemory = 0.99
	// priorSlope is the assumed slope of the regression before jobs have been observed, priorJobs its weight in jobs, and
	// priorVariance the assumed variance of declared run times.
	priorSlope    = 0.5
	priorJobs     = 5
	priorVariance = 0.25
)

// observe records the declared and the actual run time of a job.
func (m *durationModel) observe(declared, actual time.Duration) {
	m.observations++
	x, y := math.Log(float64(max(declared, 1))), math.Log(float64(max(actual, 1)))
	if m.weight == 0 {
		m.weight, m.sumX, m.sumY = priorJobs, priorJobs*x, priorJobs*y
		m.sumXX, m.sumXY = priorJobs*(x*x+priorVariance), priorJobs*(x*y+priorSlope*priorVariance)
	}
	m.weight, m.sumX, m.sumY = m.weight*durationMemory+1, m.sumX*durationMemory+x, m.sumY*durationMemory+y
	m.sumXX, m.sumXY = m.sumXX*durationMemory+x*x, m.sumXY*durationMemory+x*y
}

// predict returns the expected run time of a job with the given declared one.
func (m *durationModel) predict(declared time.Duration) time.Duration {
	meanX, meanY := m.sumX/m.weight, m.sumY/m.weight
	variance, covariance := m.sumXX/m.weight-meanX*meanX, m.sumXY/m.weight-meanX*meanY
	slope := min(max(covariance/max(variance, minVariance), 0), 1)
	return time.Duration(math.Exp(meanY + slope*(math.Log(float64(max(declared, 1)))-meanX)))
}

// minVariance keeps the slope defined if all declared run times are equal.
const minVariance = 1e-6

// usual returns the usual run time of the route.
func (m *durationModel) usual() time.Duration { return time.Duration(math.Exp(m.sumY / m.weight)) }
