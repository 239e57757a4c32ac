// Package job defines the data of submissions: ids, work and its steps, outcomes, results and answers.
package job
