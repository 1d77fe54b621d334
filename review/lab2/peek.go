package main

import "golang.org/x/sys/unix"

// peerHasClosed reports whether the other end of a connection has closed it.
func peerHasClosed(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	const established = 1
	return err != nil || info.State != established
}
