package job

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// CheckPools returns ConfigInvalid if a job that has not ended belongs to a pool that is not
// in the configuration: it would never run, because jobs refer to their pool by its name.
func CheckPools(s model.State, c model.Config) result.Result {
	pools := map[model.PoolName]bool{}
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	for _, j := range s.Jobs.All() {
		if !j.Phase.Final() && !pools[j.Pool] {
			return result.New(result.ConfigInvalid, "pool %s still has job %s; cancel its jobs first", j.Pool, j.ID)
		}
	}
	return result.Result{Code: result.OK}
}
