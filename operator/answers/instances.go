package answers

import "fmt"

// instance is an instance that a placement declares.
type instance struct {
	ID, DataCentre, Rack string
	placement            int  // index of the placement in its pool
	named                bool // its ID is given under names, not generated
	index                int  // index in names
}

// instancesOf lists the instances of a pool in the order of its placements. The
// generated ID of an instance consists of the pool that declares it, its data
// centre, its rack and a number that counts the generated IDs of the pool in the
// rack. The ID therefore does not depend on other pools and racks, and an instance
// keeps its ID when it is moved to another pool.
func instancesOf(a *Answers, p Pool) []instance {
	var out []instance
	numbers := map[[2]string]int{}
	for i, place := range p.Instances {
		for _, inst := range placementInstances(a, p, place, numbers) {
			inst.placement = i
			out = append(out, inst)
		}
	}
	return out
}

// placementInstances lists the instances of one placement; numbers holds the last
// number used in each rack.
func placementInstances(a *Answers, p Pool, place Placement, numbers map[[2]string]int) []instance {
	dc, _ := dataCentre(a, place.DataCentre)
	var out []instance
	for _, rack := range racksOf(place, dc) {
		for i, name := range place.Names {
			out = append(out, instance{ID: name, DataCentre: dc.Name, Rack: rack, named: true, index: i})
		}
		at := [2]string{dc.Name, rack}
		for range place.CountPerRack {
			numbers[at]++
			out = append(out, instance{ID: fmt.Sprintf("%s-%s-%s-%d", p.Name, dc.Name, rack, numbers[at]), DataCentre: dc.Name, Rack: rack})
		}
	}
	return out
}

func racksOf(place Placement, dc DataCentre) []string {
	if len(place.Racks) > 0 {
		return place.Racks
	}
	return dc.Racks
}

func dataCentre(a *Answers, name string) (DataCentre, bool) {
	for _, r := range a.Domains.Regions {
		for _, dc := range r.DataCentres {
			if dc.Name == name {
				return dc, true
			}
		}
	}
	return DataCentre{}, false
}
