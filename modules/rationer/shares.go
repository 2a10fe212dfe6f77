package rationer

import (
	"syscall"

	"github.com/ebonylock/ebonylock/modules/accepter"
)

// MiB is the number of bytes of a mebibyte.
const MiB = 1 << 20

// Shares divides the memory of a process between what is held for clients and everything else. All fields
// are in bytes.
type Shares struct {
	// Heap is the soft limit of the Go runtime. It leaves room for bytes that the kernel has received and
	// the process has not read yet.
	Heap int64
	// Clients is the limit on what all clients together make the process hold beyond FreeBytes each.
	Clients int64
	// Connections is the memory for connections of clients, at connectionCost each.
	Connections int64
	// Replies is the limit on replies that are being read.
	Replies int64
	// Backlog is the memory for what is received on connections that are not accepted yet.
	Backlog int64
}

const (
	// connectionCost is the memory that a connection needs apart from what it draws from the Pool: its
	// state, FreeBytes, and bytes that were received and not read yet.
	connectionCost = 24 << 10
	// ReceiveBuffer is the size in bytes of the kernel's receive buffer of a connection to a client or to a
	// backend server.
	ReceiveBuffer = 32 << 10
	// usualHeap is the limit of the heap that is enough for ordinary load on any VM.
	usualHeap = 120 * MiB
)

// Divide returns the shares of a process that may use memory bytes; 0 stands for all memory of the machine.
func Divide(memory int64) Shares {
	if memory <= 0 {
		memory = machineMemory()
	}
	return Shares{
		Heap:        min(memory*5/8, max(usualHeap, memory*3/8)),
		Clients:     memory / 8,
		Connections: memory / 4,
		Replies:     memory / 8,
		Backlog:     memory / 16,
	}
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return usualHeap
	}
	return int64(info.Totalram) * int64(max(info.Unit, 1))
}

// ConnectionLimits limits the connections of the clients of each listener.
type ConnectionLimits struct {
	// Callers is the limit of the listener for callers, Peers that of the listener for other VMs, and Others that of
	// any other one.
	Callers, Peers, Others int
}

const (
	// peersPart and othersPart are the parts of the process's file descriptors that the connections of these
	// listeners may use.
	peersPart, othersPart = 1. / 8, 1. / 32
	// minOthers is the limit of such a listener in the smallest process.
	minOthers = 4
)

// LimitConnections returns the limits that follow from the memory and from the number of file descriptors of the
// process, which is the smaller one of setting and of the system's limit; 0 if unknown. callersPart is the part of
// the descriptors for callers. The rest is kept for connections to backend servers, to other VMs and to the store,
// which the requests of callers need.
func (s Shares) LimitConnections(setting int, callersPart float64) ConnectionLimits {
	limits := ConnectionLimits{Callers: int(s.Connections / connectionCost)}
	var rlimit syscall.Rlimit
	descriptors := uint64(setting)
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err == nil && (descriptors == 0 || rlimit.Cur < descriptors) {
		descriptors = rlimit.Cur
	}
	limits.Peers, limits.Others = limits.Callers, limits.Callers
	if descriptors > 0 {
		limits.Callers = min(limits.Callers, int(callersPart*float64(descriptors)))
		limits.Peers = min(limits.Peers, int(peersPart*float64(descriptors)))
		limits.Others = min(limits.Others, int(othersPart*float64(descriptors)))
	}
	limits.Callers, limits.Peers, limits.Others = max(limits.Callers, 1), max(limits.Peers, minOthers), max(limits.Others, minOthers)
	return limits
}

// Buffers returns the limits on what the kernel holds for the clients of a listener.
func (s Shares) Buffers() accepter.Buffers {
	return accepter.Buffers{Backlog: max(int(s.Backlog/ReceiveBuffer), 1), Receive: ReceiveBuffer}
}
