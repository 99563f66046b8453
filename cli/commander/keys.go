package commander

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/loader"
)

func (c *Commander) keysCommand() *cobra.Command {
	keys := &cobra.Command{Use: "keys", Short: "Create, grant and withdraw callers' keys"}
	keys.AddCommand(c.newKeyCommand(), c.grantKeyCommand(), c.withdrawKeyCommand())
	return keys
}

func (c *Commander) newKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "new",
		Short:   "Print a new key and its digest; only the digest goes into the text",
		Example: "  filberthoist keys new",
		Args:    cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			k := digester.NewKey()
			fmt.Fprintf(c.config.Out, "key    %s\ndigest %s\n", k, digester.Key(k))
		},
	}
}

func (c *Commander) grantKeyCommand() *cobra.Command {
	var digest string
	var wait bool
	cmd := &cobra.Command{
		Use:     "grant NAME TEAM",
		Short:   "Add a key to the text in force; prints the key unless a digest is given",
		Example: "  filberthoist keys grant landlords2 landlords --wait",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, a []string) error {
			d := digest
			if d == "" {
				k := digester.NewKey()
				d = digester.Key(k).String()
				fmt.Fprintf(c.config.Out, "key %s\n", k)
			}
			return c.editText(wait, func(s []loader.Section) ([]loader.Section, error) {
				if sectionIndex(s, "key "+a[0]) >= 0 {
					return nil, ExitError{ExitRefused, "key " + a[0] + " already exists"}
				}
				return append(s, loader.Section{Name: "key " + a[0], Keys: []loader.Key{
					{Name: "team", Value: a[1]}, {Name: "digest", Value: d},
				}}), nil
			})
		},
	}
	cmd.Flags().StringVar(&digest, "digest", "", "digest of a key that was created elsewhere")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the change is in force on every entry")
	return cmd
}

func (c *Commander) withdrawKeyCommand() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:     "withdraw NAME",
		Short:   "Remove a key from the text in force; callers still connected are refused too",
		Example: "  filberthoist keys withdraw landlords2 --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, a []string) error {
			return c.editText(wait, func(s []loader.Section) ([]loader.Section, error) {
				i := sectionIndex(s, "key "+a[0])
				if i < 0 {
					return nil, ExitError{ExitRefused, "no key is called " + a[0]}
				}
				return slices.Delete(s, i, i+1), nil
			})
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the change is in force on every entry")
	return cmd
}

// editText changes the text in force and submits it with the next revision.
func (c *Commander) editText(wait bool, change func([]loader.Section) ([]loader.Section, error)) error {
	r, err := c.fetchText()
	if err != nil {
		return err
	}
	sections, problems := loader.Split([]byte(r.GetText()))
	if len(problems) > 0 {
		return problems
	}
	sections, err = change(sections)
	if err != nil {
		return err
	}
	if i := sectionIndex(sections, "configuration"); i >= 0 {
		setRevision(sections[i].Keys, r.GetRevision()+1)
	}
	return c.submitText(loader.Join(sections), wait, defaultWaitLimit)
}

func setRevision(keys []loader.Key, revision uint64) {
	for i := range keys {
		if keys[i].Name == "revision" {
			keys[i].Value = strconv.FormatUint(revision, 10)
		}
	}
}

func sectionIndex(s []loader.Section, name string) int {
	return slices.IndexFunc(s, func(t loader.Section) bool { return t.Name == name })
}
