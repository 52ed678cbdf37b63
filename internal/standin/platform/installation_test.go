package platform

import "testing"

// Hosts of one process are given ports one after the other and listen later. Two of them
// must not be given the same port in between.
func TestHostsGetDifferentPorts(t *testing.T) {
	seen := make(map[int]bool)
	for range portsPerProcess / 2 {
		port, release, err := freePort()
		if err != nil {
			t.Fatal(err)
		}
		release()
		if seen[port] {
			t.Errorf("got port %d twice", port)
		}
		seen[port] = true
	}
}
