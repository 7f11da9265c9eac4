package controlplane

import (
	"bytes"
	"encoding/gob"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
	"basaltloft/internal/shared/goldentest"
)

// goldenIdentities returns the identities of an initial member and of a node that joined later, by file.
func goldenIdentities() map[string]identity {
	return map[string]identity{
		"identity-founder": {ID: "10.1.0.15:7660", Founding: &replica.Membership{
			Voters:   []replica.Member{{ID: "10.1.0.15:7660", Address: "10.1.0.15:7660"}, {ID: "10.2.0.25:7660", Address: "10.2.0.25:7660"}},
			Outgoing: []replica.Member{{ID: "outgoing", Address: "10.3.0.35:7660"}},
			Learners: []replica.Member{{ID: "learner", Address: "10.4.0.45:7660"}},
		}},
		"identity-joined": {ID: "0123456789abcdef"},
	}
}

// The following types have the form of the identity file at commit 352ebf2. The file stores the names of their
// fields, so they must never be renamed.
type (
	storedIdentity struct {
		ID       string
		Founding *storedMembership
	}
	storedMembership struct{ Voters, Outgoing, Learners []storedMember }
	storedMember     struct{ ID, Address string }
)

func readIdentity(t *testing.T, path string) storedIdentity {
	t.Helper()
	var stored storedIdentity
	require.NoError(t, gob.NewDecoder(bytes.NewReader(goldentest.Read(t, path))).Decode(&stored))
	return stored
}

// TestGoldenIdentityIsRead checks that a node keeps its identity if its disk was written by commit 352ebf2, and
// that the identity file of this build has the same form as that commit's.
func TestGoldenIdentityIsRead(t *testing.T) {
	require.Equal(t, "identity", identityFile)
	for name, wanted := range goldenIdentities() {
		t.Run(name, func(t *testing.T) {
			written := t.TempDir()
			require.NoError(t, wanted.save(written))
			golden := filepath.Join("testdata", name)
			goldentest.WriteMissingFolder(t, written, golden)
			found, err := loadIdentity(goldentest.CopyFolder(t, golden), func() (identity, error) {
				t.Error("create was called although the folder has an identity")
				return identity{}, nil
			})
			require.NoError(t, err)
			require.Equal(t, wanted, found)
			require.Equal(t, readIdentity(t, filepath.Join(golden, "identity")), readIdentity(t, filepath.Join(written, "identity")))
		})
	}
}

// TestGoldenIdentityFieldByField checks the content of the golden files themselves.
func TestGoldenIdentityFieldByField(t *testing.T) {
	require.Equal(t, storedIdentity{ID: "10.1.0.15:7660", Founding: &storedMembership{
		Voters:   []storedMember{{"10.1.0.15:7660", "10.1.0.15:7660"}, {"10.2.0.25:7660", "10.2.0.25:7660"}},
		Outgoing: []storedMember{{"outgoing", "10.3.0.35:7660"}},
		Learners: []storedMember{{"learner", "10.4.0.45:7660"}},
	}}, readIdentity(t, filepath.Join("testdata", "identity-founder", "identity")))
	require.Equal(t, storedIdentity{ID: "0123456789abcdef"}, readIdentity(t, filepath.Join("testdata", "identity-joined", "identity")))
}
