package chaos

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// A relay must know the zone that a connection comes from. All VMs of the run share one address, so the process that
// holds the other end of the connection is looked up.

// socketInode returns the inode of the local socket with the port that is connected to another local port.
func socketInode(local, remote int) (string, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", fmt.Errorf("list sockets: %w", err)
	}
	defer file.Close()
	want := fmt.Sprintf("0100007F:%04X 0100007F:%04X", local, remote)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > 9 && fields[1]+" "+fields[2] == want {
			return fields[9], nil
		}
	}
	return "", fmt.Errorf("no socket with port %d that is connected to port %d", local, remote)
}

// holds reports whether a process has the socket open.
func holds(pid int, inode string) bool {
	directory := "/proc/" + strconv.Itoa(pid) + "/fd/"
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if link, err := os.Readlink(directory + entry.Name()); err == nil && link == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// peerInode returns the inode of the socket at the other end of an accepted connection.
func peerInode(conn net.Conn) (string, error) {
	remote, isTCP := conn.RemoteAddr().(*net.TCPAddr)
	local, isTCPToo := conn.LocalAddr().(*net.TCPAddr)
	if !isTCP || !isTCPToo {
		return "", fmt.Errorf("%s is no TCP connection", conn.RemoteAddr())
	}
	return socketInode(remote.Port, local.Port)
}
