package preflight

import (
	"cmp"
	"slices"

	"samphireplank.example/samphireplank/contract"
)

// Severity says whether a finding forbids the publication.
type Severity string

// The severities of findings.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is an error or a warning with its place.
type Finding struct {
	Severity Severity `json:"severity"`
	contract.Problem
}

// String returns the finding as one line.
func (f Finding) String() string { return string(f.Severity) + ": " + f.Problem.String() }

// Request is what a check works on.
type Request struct {
	Candidate Configuration
	InForce   *Configuration // nil if it is not known
	Workers   *Workers       // nil if they are not known
}

// Report is the result of a check.
type Report struct {
	Errors   int       `json:"errors"`
	Warnings int       `json:"warnings"`
	Findings []Finding `json:"findings"` // errors first, then by file and line
	Changes  []Change  `json:"changes"`  // from the configuration in force to the candidate
}

// checker collects findings.
type checker struct {
	Request
	findings []Finding
}

func (c *checker) error(p contract.Problem)   { c.findings = append(c.findings, Finding{Error, p}) }
func (c *checker) warning(p contract.Problem) { c.findings = append(c.findings, Finding{Warning, p}) }

// Check checks a configuration and compares it with the one in force. It reports all findings, also those about references of
// a file that has other errors.
func Check(r Request) Report {
	c := &checker{Request: r, findings: slices.Clone(r.Candidate.Findings)}
	report := Report{Findings: []Finding{}, Changes: []Change{}}
	if !r.Candidate.Broken {
		c.checkVersion()
		c.checkServices()
		c.checkRoutes()
		c.checkMatches()
		c.checkLimits()
		c.checkWorkers()
		if r.InForce != nil {
			report.Changes = compare(r.InForce, &r.Candidate)
		}
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	for _, f := range c.findings {
		if f.Severity == Error {
			report.Errors++
		}
	}
	report.Warnings = len(c.findings) - report.Errors
	report.Findings = append(report.Findings, c.findings...)
	return report
}
