package once

import (
	"strings"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/roster"
)

// Guards against a wrong result of seven replies, which would run a request twice or
// leave it to nobody. The holder is m. Each letter is one witness's reply: the name of
// the holder it granted the key to, f for forgot, x for unreachable, - for outstanding.
func TestDecide(t *testing.T) {
	tests := []struct {
		answers string
		want    voteResult
		rival   string
	}{
		{"mmmmm--", voteWon, ""},
		{"mmmmmzz", voteWon, ""},
		{"mmmm---", votePending, ""},
		{"mmmmxx-", votePending, ""},
		{"mmmmxxx", voteUnreachable, ""},
		{"aaaaa--", voteLost, "a"},
		{"aaa----", votePending, ""}, // a may have five
		{"aaaxxx-", voteYield, "a"},
		{"aaaammm", voteYield, "a"},
		{"zzzmmmm", voteBlocked, "m"},
		{"zzzzz--", voteLost, "z"},
		{"azmmmxx", voteUnreachable, ""},
		{"azzmmmm", voteYield, "a"},
		{"fff----", voteImpossible, "m"},
		{"ffammmm", voteYield, "a"},
		{"ffmmmmm", voteWon, ""},
		{"ffmmmmx", voteUnreachable, ""},
	}
	for _, tt := range tests {
		t.Run(tt.answers, func(t *testing.T) {
			c := newTally("m", roster.Set{Members: strings.Split("0123456", ""), Quorum: 5})
			for i, a := range strings.Split(tt.answers, "") {
				switch a {
				case "-":
				case "x":
					c.add(c.set.Members[i], magno.GrantReply{}, false)
				case "f":
					c.add(c.set.Members[i], magno.GrantReply{Reason: magno.GrantForgot}, true)
				default:
					c.add(c.set.Members[i], magno.GrantReply{Holder: a}, true)
				}
			}
			if v, rival := c.result(); v != tt.want || rival != tt.rival {
				t.Fatalf("got %d %q", v, rival)
			}
		})
	}
}

// Guards against counting a duplicated reply twice: a request could then run with four
// witnesses, and again with four others.
func TestDoubledAnswerCountsOnce(t *testing.T) {
	c := newTally("m", roster.Set{Members: strings.Split("0123456", ""), Quorum: 5})
	for _, member := range []string{"0", "1", "2", "3", "3", "0"} {
		c.add(member, magno.GrantReply{Holder: "m"}, true)
	}
	if v, _ := c.result(); v != votePending {
		t.Fatalf("got %d", v)
	}
}
