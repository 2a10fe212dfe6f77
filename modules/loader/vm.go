package loader

// VM identifies this VM.
type VM struct {
	// ID is the name of the VM, unique within the fleet.
	ID string
	// DataCentre is the name of the data centre in which the VM runs.
	DataCentre string
	// LinkMbps is the bandwidth of the network link of the VM in Mbit/s, 0 if unknown.
	LinkMbps float64
	// Cores is the processor time that the VM has per second, in seconds, 0 if unknown.
	Cores float64
	// Descriptors is the number of file descriptors that a process on the VM may have, 0 if unknown.
	Descriptors int
	// MemoryMB is the memory in MiB above which the platform kills a process on the VM, 0 if unknown.
	MemoryMB int
}

func (s *VM) section() section {
	return section{
		"id":          text(&s.ID, true),
		"data-centre": text(&s.DataCentre, true),
		"link-mbps":   number(&s.LinkMbps, 0, 1<<20),
		"cores":       number(&s.Cores, 0, 1<<10),
		"descriptors": number(&s.Descriptors, 0, 1<<30),
		"memory-mb":   number(&s.MemoryMB, 0, 1<<30),
	}
}
