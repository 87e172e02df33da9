package ctl

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/adminapi"
)

// baseFileName is the hidden file in an operator's directory that records the
// revision at which each document was read.
const baseFileName = ".basilrail.json"

// baseFile is the content of that file. The revisions make a change conditional
// on the documents that the operator read, however much later it is applied.
type baseFile struct {
	Revisions map[string]uint64 `json:"revisions"`
}

// readBase reads the base file of a directory; without one every document counts
// as new.
func readBase(dir string) (baseFile, error) {
	base := baseFile{Revisions: map[string]uint64{}}
	raw, err := os.ReadFile(filepath.Join(dir, baseFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return base, nil
	}
	if err != nil {
		return base, errors.Wrap(err, "read the base revisions")
	}
	return base, errors.Wrapf(json.Unmarshal(raw, &base), "read %s", baseFileName)
}

func (b baseFile) write(dir string) error {
	raw, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the base revisions")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, baseFileName), append(raw, '\n'), fileMode), "write the base revisions")
}

// The modes of files and directories that the tool writes.
const (
	fileMode = 0o644
	dirMode  = 0o755
)

// writeDocuments writes documents as files below a directory, with their revisions.
func writeDocuments(dir string, docs []adminapi.Document) error {
	base, err := readBase(dir)
	if err != nil {
		return err
	}
	for _, doc := range docs {
		name := filepath.Join(dir, filepath.FromSlash(doc.Path)+".yaml")
		if err := os.MkdirAll(filepath.Dir(name), dirMode); err != nil {
			return errors.Wrap(err, "create directory")
		}
		if err := os.WriteFile(name, []byte(doc.Body), fileMode); err != nil {
			return errors.Wrap(err, "write document")
		}
		base.Revisions[doc.Path] = doc.Revision
	}
	return base.write(dir)
}
