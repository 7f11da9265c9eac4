package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// markerName is the name of the file that marks a demonstration's data directory, and markerFormat its
	// content: the version of the data format, and the first port, which is part of the nodes' addresses. A
	// build with another data format must write another text.
	markerName   = "basaltloft-demo"
	markerFormat = "basaltloft demonstration cluster, form 1, --port %d\n"
)

// ErrForeignFolder is returned when a directory holds anything but the data of a demonstration of this build
// with the same port.
var ErrForeignFolder = errors.New("the folder is not one of this build's demonstrations")

// dataFolder is the directory that holds the nodes' data.
type dataFolder struct {
	path      string
	temporary bool // it is removed at the end
}

// openFolder creates the data directory, or opens that of an earlier demonstration. If path is empty, it
// creates a temporary directory, which close removes.
func openFolder(path string, port int) (*dataFolder, error) {
	if path == "" {
		made, err := os.MkdirTemp("", "basaltloft-demo-")
		if err != nil {
			return nil, errors.Wrap(err, "create a temporary folder for the nodes' data: name a folder with --dir")
		}
		return &dataFolder{path: made, temporary: true}, nil
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Wrap(err, "create the folder for the nodes' data")
	}
	if err := checkMarker(path, fmt.Sprintf(markerFormat, port)); err != nil {
		return nil, err
	}
	return &dataFolder{path: path}, nil
}

// checkMarker checks the marker file of a data directory, and writes it into an empty one.
func checkMarker(path, text string) error {
	marker := filepath.Join(path, markerName)
	content, err := os.ReadFile(marker)
	switch {
	case err == nil && string(content) == text:
		return nil
	case err == nil:
		return errors.Wrapf(ErrForeignFolder, "%s was written by another build or with another port, as %q: name an empty folder", path, strings.TrimSpace(string(content)))
	case !errors.Is(err, os.ErrNotExist):
		return errors.Wrap(err, "read the folder's marker file")
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return errors.Wrap(err, "read the folder for the nodes' data")
	}
	if len(entries) > 0 {
		return errors.Wrapf(ErrForeignFolder, "%s holds other files: name an empty folder", path)
	}
	return errors.Wrap(os.WriteFile(marker, []byte(text), 0o600), "write the folder's marker file")
}

// close removes a temporary directory.
func (f *dataFolder) close() {
	if f.temporary {
		_ = os.RemoveAll(f.path) // after an error the rest stays in the system's temporary directory
	}
}
