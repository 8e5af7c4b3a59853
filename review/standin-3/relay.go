package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// relayedPort is where a control program receives the datagrams that its relay forwards.
const relayedPort = nodePort + 1

// relays forward the datagrams between nodes that are sent to control programs, except those from and to machines that are cut off.
type relays struct {
	mu  sync.Mutex
	cut map[string]bool // by IP address
}

func (r *relays) isCut(ip string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.cut[ip]
}

func (w *world) relayCut(ip string, cut bool) {
	w.relays.mu.Lock()
	defer w.relays.mu.Unlock()

	w.relays.cut[ip] = cut
}

// startRelays starts a relay in front of each control program.
func (w *world) startRelays(controls int) error {
	w.relays = &relays{cut: map[string]bool{}}

	for i := range controls {
		front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(w.ip(i + 1)), Port: nodePort})
		if err != nil {
			return err
		}

		go w.relays.serve(front, fmt.Sprintf("%s:%d", w.ip(i+1), relayedPort))
	}

	return nil
}

func (r *relays) serve(front *net.UDPConn, to string) {
	sessions := map[netip.AddrPort]*net.UDPConn{}
	buf := make([]byte, 64<<10)

	for {
		n, from, err := front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}

		ip := from.Addr().Unmap().String()
		if r.isCut(ip) {
			continue
		}

		back := sessions[from]
		if back == nil {
			remote, err := net.ResolveUDPAddr("udp", to)
			if err != nil {
				return
			}

			if back, err = net.DialUDP("udp", nil, remote); err != nil {
				continue
			}

			sessions[from] = back

			go r.answers(front, back, from, ip)
		}

		_, _ = back.Write(buf[:n]) // datagrams may be lost
	}
}

// answers forwards what a control program sends to one machine.
func (r *relays) answers(front, back *net.UDPConn, to netip.AddrPort, ip string) {
	buf := make([]byte, 64<<10)

	for {
		n, err := back.Read(buf)
		if err != nil {
			// The program does not listen at the moment.
			if _, refused := err.(net.Error); refused { //nolint:errorlint // Not wrapped.
				continue
			}

			return
		}

		if !r.isCut(ip) {
			_, _ = front.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}
