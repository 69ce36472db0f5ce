package policy

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// rankKeys decodes only the keys that hold a rank. Its pointers distinguish a missing key from "urgent", the zero value of
// rank.Rank.
type rankKeys struct {
	Services []struct {
		Name   string `toml:"name"`
		Routes []struct {
			Rank *string `toml:"rank"`
		} `toml:"routes"`
	} `toml:"services"`
	Callers []struct {
		ID          string  `toml:"id"`
		HighestRank *string `toml:"highest_rank"`
	} `toml:"callers"`
}

const wantRank = "want urgent, interactive or deferrable"

// requireRanks rejects a policy that omits a rank. Otherwise an omission would make requests urgent, since urgent is the zero
// value.
func requireRanks(text []byte) error {
	var keys rankKeys
	if err := toml.Unmarshal(text, &keys); err != nil {
		return Error.New("%s", describeTOML(err))
	}
	var problems []Problem
	for _, s := range keys.Services {
		for i, r := range s.Routes {
			if r.Rank == nil {
				problems = append(problems, Problem{Field: fmt.Sprintf("services[%s].routes[%d].rank", s.Name, i), Want: wantRank})
			}
		}
	}
	for _, c := range keys.Callers {
		if c.HighestRank == nil {
			problems = append(problems, Problem{Field: fmt.Sprintf("callers[%s].highest_rank", c.ID), Want: wantRank})
		}
	}
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}
