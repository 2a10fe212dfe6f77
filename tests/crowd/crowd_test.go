// Package crowd has tests with many clients that stop in the middle of what they send, or don't read what they
// get. The system runs as separate processes. The tests check what does not depend on the speed of the machine:
// the process lives, its memory and its descriptors stay under a bound, and an ordinary request is answered
// while the crowd's connections are still open.
package crowd

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

const (
	// memoryMB is the memory of a process in MiB, as its settings state it.
	memoryMB = 96
	// maxBody is the operator's limit on the body of a request, in bytes.
	maxBody = 256 << 10
	// samplePause is the time between two measurements of a process.
	samplePause = 10 * time.Millisecond
	// sendTimeout limits the time in which a member of a crowd sends.
	sendTimeout = 30 * time.Second
	// settleTimeout limits the wait until a process has read what a crowd has sent. It need not read it all.
	settleTimeout = 10 * time.Second
)

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(fleet.RunWithBinaries(func(dir string) int {
		binDir = dir
		return m.Run()
	}))
}

// member is one client of a crowd.
type member struct {
	// addr is the address to connect to.
	addr string
	// pieces are sent one after the other. The connection then stays open, and nothing is read from it.
	pieces []string
	// answered is true if the member waits until its answer begins, and reads one byte of it.
	answered bool
}

// repeat returns n members that send the same pieces to addr.
func repeat(n int, addr string, pieces ...string) []member {
	crowd := make([]member, n)
	for i := range crowd {
		crowd[i] = member{addr: addr, pieces: pieces}
	}
	return crowd
}

// cut returns s in pieces of n bytes.
func cut(s string, n int) []string {
	var pieces []string
	for len(s) > n {
		pieces = append(pieces, s[:n])
		s = s[n:]
	}
	return append(pieces, s)
}

// send makes all members send at once, piece by piece. It returns when each of them has sent everything, or can send
// no more because it was refused, and the process measured by m has read it. The connections stay open until the
// end of the test.
func send(t *testing.T, m *meter, crowd []member) {
	t.Helper()
	// A small receive buffer keeps answers that are not read in the process that sends them.
	d := net.Dialer{Timeout: sendTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conns := make([]net.Conn, len(crowd))
	t.Cleanup(func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	end, _ := ctx.Deadline()
	var wg sync.WaitGroup
	for i, who := range crowd {
		wg.Go(func() {
			c, err := d.DialContext(ctx, "tcp4", who.addr)
			if err != nil {
				return // refused
			}
			conns[i] = c
			_ = c.SetDeadline(end)
			for _, p := range who.pieces {
				if _, err := c.Write([]byte(p)); err != nil {
					return // refused
				}
			}
			if who.answered {
				_, _ = c.Read(make([]byte, 1))
			}
		})
	}
	wg.Wait()
	for end := time.Now().Add(settleTimeout); m.unread() > 0 && time.Now().Before(end); {
		time.Sleep(samplePause)
	}
}

// meter measures a process while a crowd is there.
type meter struct {
	pid int
	// host is the address of the process, which no other process has.
	host net.IP
	stop chan struct{}
	done chan struct{}
	// memory is the highest sum seen of the resident memory and of the bytes received and not yet read, and
	// descriptors the highest number of open descriptors.
	memory, descriptors int
	// unreadAtPeak is the part of memory that was received and not yet read.
	unreadAtPeak int
	// limit is the memory of the process in bytes. It may be set until check.
	limit int
}

// measure measures a process until check.
func measure(pid int, addr string) *meter {
	host, _, _ := net.SplitHostPort(addr)
	m := &meter{pid: pid, host: net.ParseIP(host).To4(), stop: make(chan struct{}), done: make(chan struct{}), limit: memoryMB << 20}
	go func() {
		defer close(m.done)
		for {
			if resident, unread := m.status("VmRSS:"), m.unread(); resident+unread > m.memory {
				m.memory, m.unreadAtPeak = resident+unread, unread
			}
			if fds, err := os.ReadDir(m.path("fd")); err == nil {
				m.descriptors = max(m.descriptors, len(fds))
			}
			select {
			case <-m.stop:
				return
			case <-time.After(samplePause):
			}
		}
	}()
	return m
}

func (m *meter) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(m.pid), name)
}

// status returns the value of a line of the process's status, in bytes; 0 if the process has ended.
func (m *meter) status(key string) int {
	raw, err := os.ReadFile(m.path("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == key {
			kb, _ := strconv.Atoi(fields[1])
			return kb << 10
		}
	}
	return 0
}

// sockets returns the inodes of the process's sockets.
func (m *meter) sockets() map[string]bool {
	out := make(map[string]bool)
	fds, _ := os.ReadDir(m.path("fd"))
	for _, fd := range fds {
		link, _ := os.Readlink(filepath.Join(m.path("fd"), fd.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			out[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return out
}

// unread returns the number of bytes that the kernel has received for the process and the process has not read: those
// of connections to its address, accepted or not, and of the connections that it has opened.
func (m *meter) unread() int {
	raw, err := os.ReadFile(m.path("net/tcp"))
	if err != nil {
		return 0
	}
	const listen, receiveQueue, inode = "0A", 4, 9
	local := fmt.Sprintf("%02X%02X%02X%02X:", m.host[3], m.host[2], m.host[1], m.host[0])
	sockets := m.sockets()
	total := 0
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) <= inode || fields[3] == listen || !strings.HasPrefix(fields[1], local) && !sockets[fields[inode]] {
			continue
		}
		_, rx, _ := strings.Cut(fields[receiveQueue], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		total += int(n)
	}
	return total
}

// check fails the test if the process has exceeded its memory or maxDescriptors, or has ended.
func (m *meter) check(t *testing.T, maxDescriptors int) {
	t.Helper()
	close(m.stop)
	<-m.done
	peak := max(m.memory, m.status("VmHWM:"))
	t.Logf("peak of the memory: %d MiB of %d, %d of them not read; of the descriptors: %d of %d", peak>>20, m.limit>>20, m.unreadAtPeak>>20, m.descriptors, maxDescriptors)
	if peak > m.limit {
		t.Errorf("the process held %d MiB, its memory is %d MiB", peak>>20, m.limit>>20)
	}
	if m.descriptors > maxDescriptors {
		t.Errorf("the process had %d descriptors open, it may have %d", m.descriptors, maxDescriptors)
	}
	if m.status("VmRSS:") == 0 {
		t.Error("the process has ended")
	}
}
