package replica

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"
)

// portReservation is a socket that is bound to a port and does not listen. While it is open, the kernel
// gives the port to nobody who asks for any free port, so that a replica that was gone for a while can
// listen at its address again. Connections are refused unless the replica listens.
type portReservation struct {
	fd      int
	Address string
}

// reservePort reserves a free port of the loopback address.
func reservePort() (*portReservation, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(fd)
	port, err := bindToFreePort(fd)
	if err != nil {
		_ = syscall.Close(fd) // the first error is the one to tell
		return nil, err
	}
	return &portReservation{fd: fd, Address: net.JoinHostPort("127.0.0.1", strconv.Itoa(port))}, nil
}

func bindToFreePort(fd int) (port int, err error) {
	// The listener of the replica can bind to the port as well only if both sockets have this option.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	address, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	return address.(*syscall.SockaddrInet4).Port, nil
}

// listenPatience bounds the wait for copies of a listener that was closed.
const listenPatience = time.Second

// listenAgain listens at the address of a listener that was closed. Processes that are being started
// have a copy of that listener until their programs run.
func listenAgain(address string) (net.Listener, error) {
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(begun) > listenPatience {
			return listener, err
		}
	}
}

func (p *portReservation) close() error { return syscall.Close(p.fd) }
