package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/settings"
)

func (i *Instance) watchServers(ctx context.Context) {
	client := &http.Client{Transport: i.transport(), Timeout: time.Second}
	every(ctx, 500*time.Millisecond, func() {
		for _, s := range i.data.Snapshot().Watched() {
			i.pollServer(ctx, client, s)
		}
	})
}

func (i *Instance) pollServer(ctx context.Context, client *http.Client, s *datastore.Server) {
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.Settings.Address+"/status", nil)
	resp, err := client.Do(req)
	if err != nil {
		st := *s.Status()
		st.Down = true
		i.data.SetStatus(s.ID, st)
		return
	}
	defer resp.Body.Close()
	var body struct {
		Instance string
		Versions []string
		Leaving  bool
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return
	}
	st := datastore.Status{Instance: body.Instance, Leaving: body.Leaving, ReportedAt: time.Now()}
	for _, v := range body.Versions {
		if ref, ok := settings.ParseVersionRef(v); ok {
			st.Versions = append(st.Versions, ref)
		}
	}
	i.data.SetStatus(s.ID, st)
}
