package endtoend

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/issuer"
)

// TestSecured uses TLS on all listeners between processes and for operators, and operators'
// tokens. Other tokens and authorities must be refused, and certificates must reload without a
// restart.
func TestSecured(t *testing.T) {
	is := is.New(t)
	authority, err := issuer.NewIssuer()
	is.NoErr(err)
	folder := t.TempDir()
	files, err := authority.Issue(folder)
	is.NoErr(err)
	t.Setenv("FILBERTHOIST_TOKEN", "operator-token")
	d := newSecuredDeployment(t, 2, security{
		allSettings:     fmt.Sprintf("[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n", files.Certificate, files.Key, files.Authority),
		controlSettings: fmt.Sprintf("[administration]\noperators = alice\n[operators]\nalice = %s\n", digester.Key("operator-token")),
		commandFlags:    flagsOf(files),
	})
	first, second := newCaller(t, d.callerAddresses[0]), newCaller(t, d.callerAddresses[1])
	d.checkServed(first, goodKey) // uses calls between entries for permits and tokens
	d.checkServed(second, goodKey)

	t.Run("a wrong token is refused", func(t *testing.T) {
		is := is.New(t)
		t.Setenv("FILBERTHOIST_TOKEN", "another")
		status, _, problems := d.runCommand("status")
		is.Equal(status, 1)
		is.True(strings.Contains(problems, "unauthenticated"))
	})
	t.Run("another authority is refused", func(t *testing.T) {
		is := is.New(t)
		otherAuthority, err := issuer.NewIssuer()
		is.NoErr(err)
		otherFiles, err := otherAuthority.Issue(t.TempDir())
		is.NoErr(err)
		ownFlags := d.security.commandFlags
		defer func() { d.security.commandFlags = ownFlags }()
		d.security.commandFlags = flagsOf(otherFiles)
		status, _, _ := d.runCommand("status")
		is.Equal(status, 1)
		d.security.commandFlags = nil
		status, _, _ = d.runCommand("status")
		is.Equal(status, 1)
	})
	t.Run("certificates change without a restart", func(t *testing.T) {
		is := is.New(t)
		_, err := authority.Issue(folder)
		is.NoErr(err)
		d.controls[d.leader()].kill()
		d.text.revision = 2
		d.applyText()
		d.checkServed(first, goodKey)
		d.checkServed(second, goodKey)
	})
}

func flagsOf(f issuer.Files) []string {
	return []string{"--certificate", f.Certificate, "--key", f.Key, "--authority", f.Authority}
}
