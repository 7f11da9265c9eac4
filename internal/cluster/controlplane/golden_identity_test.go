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

// goldenIdentities are the identities of a founder and of a process that joined, by file.
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

// The types from here on have the form of the identity file at 352ebf2. Their fields' names are
// stored and are never to be changed.
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

// TestGoldenIdentityIsRead: a process starts as who it was on a disk of 352ebf2, and what this
// build writes has the form of that build.
func TestGoldenIdentityIsRead(t *testing.T) {
	require.Equal(t, "identity", identityFile)
	for name, wanted := range goldenIdentities() {
		t.Run(name, func(t *testing.T) {
			written := t.TempDir()
			require.NoError(t, wanted.save(written))
			golden := filepath.Join("testdata", name)
			goldentest.WriteMissingFolder(t, written, golden)
			found, err := loadIdentity(goldentest.CopyFolder(t, golden), func() (identity, error) {
				t.Error("the folder has an identity")
				return identity{}, nil
			})
			require.NoError(t, err)
			require.Equal(t, wanted, found)
			require.Equal(t, readIdentity(t, filepath.Join(golden, "identity")), readIdentity(t, filepath.Join(written, "identity")))
		})
	}
}

// TestGoldenIdentityFieldByField checks the golden file itself.
func TestGoldenIdentityFieldByField(t *testing.T) {
	require.Equal(t, storedIdentity{ID: "10.1.0.15:7660", Founding: &storedMembership{
		Voters:   []storedMember{{"10.1.0.15:7660", "10.1.0.15:7660"}, {"10.2.0.25:7660", "10.2.0.25:7660"}},
		Outgoing: []storedMember{{"outgoing", "10.3.0.35:7660"}},
		Learners: []storedMember{{"learner", "10.4.0.45:7660"}},
	}}, readIdentity(t, filepath.Join("testdata", "identity-founder", "identity")))
	require.Equal(t, storedIdentity{ID: "0123456789abcdef"}, readIdentity(t, filepath.Join("testdata", "identity-joined", "identity")))
}
