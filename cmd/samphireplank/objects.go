package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"samphireplank.example/samphireplank/contract"
)

// objectFiles are the positional arguments of commands that read a set.
type objectFiles struct {
	Paths []string `positional-arg-name:"PATH" required:"1" description:"Object file, or directory whose .yaml files are all read"`
}

// read returns the set of all files, a *contract.ValidationError, or a settings error for files that can't be read.
func (o objectFiles) read() (*contract.Set, error) {
	var files []contract.ObjectFile
	for _, path := range o.Paths {
		names, err := filesOf(path)
		if err != nil {
			return nil, &settingsError{err}
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if err != nil {
				return nil, &settingsError{err}
			}
			files = append(files, contract.ObjectFile{Name: name, Data: data})
		}
	}
	set, problems := contract.ParseFiles(files)
	if len(problems) > 0 {
		return nil, &contract.ValidationError{Problems: problems}
	}
	return set, nil
}

func filesOf(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if extension := filepath.Ext(entry.Name()); !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			names = append(names, filepath.Join(path, entry.Name()))
		}
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("directory %s has no .yaml files", path)
	}
	slices.Sort(names)
	return names, nil
}
