package rationer

import "syscall"

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
	// ReceiveBuffer is the size of a client connection's receive buffer in the kernel, in bytes.
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

// MaxConnections returns how many connections of clients the memory is enough for.
func (s Shares) MaxConnections() int {
	return int(s.Connections / connectionCost)
}

// MaxBacklog returns how many connections may wait to be accepted.
func (s Shares) MaxBacklog() int {
	return max(int(s.Backlog/ReceiveBuffer), 1)
}
