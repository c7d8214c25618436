package answers

import "fmt"

// instance is one declared instance.
type instance struct {
	ID, DataCentre, Rack string
	place                int  // index of the placement that declares it
	named                bool // the answers give its name
	index                int  // index of the name
}

// instancesOf lists the instances of a pool in the order of its placements. A
// counted instance is named after the pool of its first declaration, its data
// centre, its rack and a number, so that a change to another pool or rack never
// renames it; the name stays when the instance is moved.
func instancesOf(a *Answers, p Pool) []instance {
	var out []instance
	numbers := map[[2]string]int{}
	for i, place := range p.Instances {
		for _, inst := range placed(a, p, place, numbers) {
			inst.place = i
			out = append(out, inst)
		}
	}
	return out
}

// placed lists the instances of one placement; numbers holds the last number
// given in each rack.
func placed(a *Answers, p Pool, place Placement, numbers map[[2]string]int) []instance {
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
