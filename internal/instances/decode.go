// Package instances polls the platform's paginated list of workers and returns it as complete snapshots. The controller
// that holds the lease publishes them to the fleet.
package instances

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"weldscale/internal/fleetwire"
)

// page is one response of the platform.
type page struct {
	Instances     []entry
	NextPageToken *string
}

// entry is one worker as the platform encodes it. Keys that routers don't use are ignored.
type entry struct {
	ID              string `json:"Id"`
	Service         string
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           string
	ColdRemainingMs float64
	Stage           string
	Models          []model
}

type model struct {
	Name    string
	Version int64
}

// decodePage returns the workers of one page and the token of the next page, which is empty on the last page.
func decodePage(body []byte) ([]fleetwire.Instance, string, error) {
	var decoded page
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, "", eris.Wrap(err, "decode page of instances")
	}
	if decoded.Instances == nil {
		return nil, "", eris.New("a page states no instances") // not the same as an empty list, which ends the use of all workers
	}
	list := make([]fleetwire.Instance, 0, len(decoded.Instances))
	for _, entry := range decoded.Instances {
		if entry.ID == "" || entry.Address == "" {
			return nil, "", eris.New("an instance has no id or no address")
		}
		list = append(list, entry.instance())
	}
	if decoded.NextPageToken == nil {
		return list, "", nil
	}
	return list, *decoded.NextPageToken, nil
}

func (e entry) instance() fleetwire.Instance {
	instance := fleetwire.Instance{
		ID:              e.ID,
		Service:         e.Service,
		Address:         e.Address,
		Zone:            e.Zone,
		Version:         e.Version,
		Slots:           e.Slots,
		State:           e.State,
		ColdRemainingMs: int64(e.ColdRemainingMs),
		Stage:           e.Stage,
	}
	for _, model := range e.Models {
		instance.Models = append(instance.Models, fleetwire.Model{Name: model.Name, Version: model.Version})
	}
	return instance
}
