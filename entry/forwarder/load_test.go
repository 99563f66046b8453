package forwarder

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against losing a target's load because of figures that were added to it later.
func TestParseLoad(t *testing.T) {
	cases := []struct {
		text string
		want *Load
	}{
		{"3,0,8", &Load{Running: 3, Slots: 8}},
		{" 3, 1 ,3", &Load{Running: 3, Waiting: 1, Slots: 3}},
		{"3,1,3,100", &Load{Running: 3, Waiting: 1, Slots: 3, Slowness: 1}},
		{"3,1,3, 250", &Load{Running: 3, Waiting: 1, Slots: 3, Slowness: 2.5}},
		{"3,1,3,87.5", &Load{Running: 3, Waiting: 1, Slots: 3, Slowness: 0.875}},
		{"3,1,3,250,7,x", &Load{Running: 3, Waiting: 1, Slots: 3, Slowness: 2.5}},
		{"3,1,3,", &Load{Running: 3, Waiting: 1, Slots: 3}},
		{"3,1,3,fast", &Load{Running: 3, Waiting: 1, Slots: 3}},
		{"3,1,3,0", &Load{Running: 3, Waiting: 1, Slots: 3}},
		{"3,1,3,-50", &Load{Running: 3, Waiting: 1, Slots: 3}},
		{"3,1,3,NaN", &Load{Running: 3, Waiting: 1, Slots: 3}},
		{"3,1,3,Inf", &Load{Running: 3, Waiting: 1, Slots: 3}},
		{"", nil},
		{"3,1", nil},
		{"3,-1,3", nil},
		{"3,x,3,100", nil},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			is.New(t).Equal(ParseLoad(c.text), c.want)
		})
	}
}
