package fakes

import "basaltloft/internal/shared/portreservation"

// FreeAddr returns a loopback address for a program to listen on. As long as this process runs,
// no other call returns it, in this process or in another. Nothing accepts connections there before
// the program does.
func FreeAddr() (string, error) {
	reservation, err := portreservation.Reserve()
	if err != nil {
		return "", err
	}
	return reservation.Addr(), nil // kept until the process ends: the program may be restarted at its address
}
