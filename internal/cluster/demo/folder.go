package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// markerName is the file that marks a folder as a demonstration's, and markerFormat its content: the form
	// of the nodes' data, and the first port, which the nodes know each other by. A build that writes another
	// form has another text.
	markerName   = "basaltloft-demo"
	markerFormat = "basaltloft demonstration cluster, form 1, --port %d\n"
)

// ErrForeignFolder says that a folder holds something else than the data of a demonstration of this build.
var ErrForeignFolder = errors.New("the folder is not one of this build's demonstrations")

// dataFolder is the folder that holds the nodes' data.
type dataFolder struct {
	path      string
	temporary bool // it is removed at the end
}

// openFolder makes the folder, or takes one that an earlier demonstration has left. An empty path stands
// for a folder that lasts as long as the demonstration.
func openFolder(path string, port int) (*dataFolder, error) {
	if path == "" {
		made, err := os.MkdirTemp("", "basaltloft-demo-")
		if err != nil {
			return nil, errors.Wrap(err, "make a folder for the nodes' data: name another with --dir")
		}
		return &dataFolder{path: made, temporary: true}, nil
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Wrap(err, "make the folder for the nodes' data")
	}
	if err := mark(path, fmt.Sprintf(markerFormat, port)); err != nil {
		return nil, err
	}
	return &dataFolder{path: path}, nil
}

// mark marks an empty folder as a demonstration's, and checks the mark of another.
func mark(path, text string) error {
	marker := filepath.Join(path, markerName)
	content, err := os.ReadFile(marker)
	switch {
	case err == nil && string(content) == text:
		return nil
	case err == nil:
		return errors.Wrapf(ErrForeignFolder, "%s was written by another build or with another port, as %q: name an empty folder", path, strings.TrimSpace(string(content)))
	case !errors.Is(err, os.ErrNotExist):
		return errors.Wrap(err, "read the folder's mark")
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return errors.Wrap(err, "read the folder for the nodes' data")
	}
	if len(entries) > 0 {
		return errors.Wrapf(ErrForeignFolder, "%s holds other files: name an empty folder", path)
	}
	return errors.Wrap(os.WriteFile(marker, []byte(text), 0o600), "mark the folder")
}

// close removes the folder, if it was made for this demonstration alone.
func (f *dataFolder) close() {
	if f.temporary {
		_ = os.RemoveAll(f.path) // what is left of it is below the system's temporary folder
	}
}
