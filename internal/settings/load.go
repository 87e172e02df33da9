package settings

import (
	"io/fs"
	"strings"

	"github.com/basilrail/basilrail/internal/findings"
)

// fileSuffix is the file name extension of settings files.
const fileSuffix = ".yaml"

// Load reads the documents in an operator's directory: the file "teams/ikoyi.yaml"
// is the document "/teams/ikoyi". Hidden files are skipped; any other file without
// the extension ".yaml" is a finding. Documents are in the order of fs.WalkDir.
func Load(dir fs.FS) ([]Document, findings.List) {
	var docs []Document
	var list findings.List
	walk := func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			list.Add(name, "%v", err)
			return nil
		case isHidden(name, entry):
			return skip(entry)
		case entry.IsDir():
			return nil
		}
		loadFile(dir, name, &docs, &list)
		return nil
	}
	if err := fs.WalkDir(dir, ".", walk); err != nil {
		list.Add(".", "%v", err)
	}
	return docs, list
}

func isHidden(name string, entry fs.DirEntry) bool {
	return name != "." && strings.HasPrefix(entry.Name(), ".")
}

func skip(entry fs.DirEntry) error {
	if entry.IsDir() {
		return fs.SkipDir
	}
	return nil
}

func loadFile(dir fs.FS, name string, docs *[]Document, list *findings.List) {
	path, ok := strings.CutSuffix(name, fileSuffix)
	if !ok {
		list.Add(name, "the file's name must end in %s", fileSuffix)
		return
	}
	body, err := fs.ReadFile(dir, name)
	if err != nil {
		list.Add(name, "%v", err)
		return
	}
	*docs = append(*docs, Document{Path: "/" + path, Body: body})
}
