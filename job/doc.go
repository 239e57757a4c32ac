// Package job holds the data of submissions: ids, outcomes, results and answers.
package job
