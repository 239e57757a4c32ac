package chaos

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"
)

// logLine is a line of the log of an entry VM; its time has a resolution of 1 s.
type logLine struct {
	at   time.Time
	text string
}

// Bounds of the lines about one job that are printed, and of their length in bytes.
const (
	maxLines      = 8
	maxLineLength = 300
	maxLogLine    = 1 << 20
)

// logged returns the first lines about a job in the logs of all entry VMs.
func logged(directory, job string) []logLine {
	files, err := filepath.Glob(filepath.Join(directory, "entry-*.log"))
	if err != nil {
		return nil
	}
	var lines []logLine
	for _, file := range files {
		lines = append(lines, linesAbout(file, job)...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	return lines[:min(len(lines), maxLines)]
}

func linesAbout(path, job string) []logLine {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var fields struct {
			Job  string    `json:"job"`
			Time time.Time `json:"time"`
		}
		text := scanner.Text()
		if !strings.Contains(text, job) || json.Unmarshal([]byte(text), &fields) != nil || fields.Job != job {
			continue
		}
		lines = append(lines, logLine{at: fields.Time, text: text[:min(len(text), maxLineLength)]})
	}
	return lines
}
