package loader

// VM names this VM.
type VM struct {
	// ID is unique in the fleet.
	ID string
	// DataCentre is the name of the data centre that holds the VM.
	DataCentre string
	// LinkMbps is the speed of its network link in Mbit/s; 0 if unknown.
	LinkMbps float64
}

func (s *VM) section() section {
	return section{
		"id":          text(&s.ID, true),
		"data-centre": text(&s.DataCentre, true),
		"link-mbps":   number(&s.LinkMbps, 0, 1<<20),
	}
}
