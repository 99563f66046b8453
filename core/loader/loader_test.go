package loader

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSplit(t *testing.T) {
	cases := []struct {
		name, text, problem string
	}{
		{"plain", "[a]\nx = 1\n", ""},
		{"comment", "[a]\nx = 1 ; note\n", ""},
		{"section twice", "[a]\nx = 1\n[a]\ny = 2\n", "the section stands twice"},
		{"key twice", "[a]\nx = 1\nx = 1\n", "the key stands twice"},
		{"key before the first section", "x = 1\n[a]\n", "before the first section"},
		{"not INI", "[a]\nnonsense\n", "key-value delimiter not found"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := Split([]byte(c.text))
			checkProblem(t, problems.Err(), c.problem)
		})
	}
	t.Run("joined sections split into the same sections", func(t *testing.T) {
		is := is.New(t)
		first, problems := Split([]byte("[a]\nx = 1\n[b c]\ny = p=q\n"))
		is.NoErr(problems.Err())
		second, problems := Split([]byte(Join(first)))
		is.NoErr(problems.Err())
		is.Equal(first, second)
	})
}

func TestReader(t *testing.T) {
	cases := []struct {
		name, line, problem string
		read                func(*Reader)
	}{
		{"duration", "x = 3s", "", func(r *Reader) { r.Duration("x", 0, 0, time.Minute) }},
		{"duration out of range", "x = 3h", "[s] x: 3h0m0s is not between", func(r *Reader) { r.Duration("x", 0, 0, time.Minute) }},
		{"not a duration", "x = fast", "is not a duration", func(r *Reader) { r.Duration("x", 0, 0, time.Minute) }},
		{"NaN", "x = NaN", "is not between", func(r *Reader) { r.Float("x", 0, 0, 1) }},
		{"host name", "x = localhost:80", "is not an IP address", func(r *Reader) { r.Address("x") }},
		{"missing key", "", "x: missing", func(r *Reader) { r.Required("x") }},
		{"unknown key", "y = 1", "unknown key", func(r *Reader) { r.Optional("x", "") }},
		{"none of the choices", "x = c", "none of a, b", func(r *Reader) { r.Choice("x", "a", "a", "b") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Parse([]byte("[s]\n" + c.line + "\n"))
			r := s.Section("s")
			c.read(r)
			r.Finish()
			checkProblem(t, s.Err(), c.problem)
		})
	}
	t.Run("reports all problems", func(t *testing.T) {
		is := is.New(t)
		s := Parse([]byte("[s]\na = x\nb = y\n[t]\n"))
		r := s.Section("s")
		r.Int("a", 0, 0, 1)
		r.Bool("b", false)
		r.Finish()
		is.Equal(len(strings.Split(s.Err().Error(), "\n")), 3)
	})
}

func checkProblem(t *testing.T, err error, want string) {
	t.Helper()
	is := is.NewRelaxed(t)
	if want == "" {
		is.NoErr(err)
		return
	}
	is.True(err != nil) // a problem is reported
	if err != nil {
		is.True(strings.Contains(err.Error(), want)) // it says what is wrong
	}
}
