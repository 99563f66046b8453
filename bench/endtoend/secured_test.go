package endtoend

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/issuer"
)

// TestSecured runs every listener between processes and for operators under TLS, with
// operators' tokens: strangers are refused, and certificates change without a restart.
func TestSecured(t *testing.T) {
	is := is.New(t)
	authority, err := issuer.NewIssuer()
	is.NoErr(err)
	folder := t.TempDir()
	files, err := authority.Issue(folder)
	is.NoErr(err)
	t.Setenv("FILBERTHOIST_TOKEN", "operator-token")
	d := newSecured(t, 2, security{
		settings: fmt.Sprintf("[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n", files.Certificate, files.Key, files.Authority),
		control:  fmt.Sprintf("[administration]\noperators = alice\n[operators]\nalice = %s\n", digester.Key("operator-token")),
		flags:    flagsOf(files),
	})
	first, second := newCaller(t, d.callers[0]), newCaller(t, d.callers[1])
	d.checkServed(first, goodKey) // permits and tokens cross between entries
	d.checkServed(second, goodKey)

	t.Run("a wrong token is refused", func(t *testing.T) {
		is := is.New(t)
		t.Setenv("FILBERTHOIST_TOKEN", "another")
		status, _, problems := d.run("status")
		is.Equal(status, 1)
		is.True(strings.Contains(problems, "unauthenticated"))
	})
	t.Run("another authority is refused", func(t *testing.T) {
		is := is.New(t)
		other, err := issuer.NewIssuer()
		is.NoErr(err)
		theirs, err := other.Issue(t.TempDir())
		is.NoErr(err)
		ours := d.security.flags
		defer func() { d.security.flags = ours }()
		d.security.flags = flagsOf(theirs)
		status, _, _ := d.run("status")
		is.Equal(status, 1)
		d.security.flags = nil
		status, _, _ = d.run("status")
		is.Equal(status, 1)
	})
	t.Run("certificates change without a restart", func(t *testing.T) {
		is := is.New(t)
		_, err := authority.Issue(folder)
		is.NoErr(err)
		d.controls[d.leader()].kill()
		d.text.revision = 2
		d.apply()
		d.checkServed(first, goodKey)
		d.checkServed(second, goodKey)
	})
}

func flagsOf(f issuer.Files) []string {
	return []string{"--certificate", f.Certificate, "--key", f.Key, "--authority", f.Authority}
}
