package faktory

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/valyala/fastjson"
)

// hashIterations is how often a client must hash the password and the salt; the greeting
// names it.
const hashIterations = 4000

// newSalt returns the salt that a password is hashed with, new for each connection.
func newSalt() string {
	b := make([]byte, 8)
	rand.Read(b) // it never fails (crypto/rand)
	return hex.EncodeToString(b)
}

// greeting returns the server's first line. Without a password it asks for no hash.
func greeting(password, salt string) string {
	if password == "" {
		return "+HI {\"v\":2}\r\n"
	}
	return fmt.Sprintf("+HI {\"v\":2,\"i\":%d,\"s\":%q}\r\n", hashIterations, salt)
}

// passwordHash returns the protocol's hash of a password and a salt: SHA-256, iterated.
func passwordHash(password, salt string, iterations int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range iterations - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}

// hello identifies the peer of a connection. A client that only pushes has no workerID.
type hello struct {
	workerID, host string
	pid            int
	labels         []string
}

// describe returns a text that identifies the peer in the log.
func (h hello) describe() string {
	if h.workerID != "" {
		return fmt.Sprintf("%s on %s, pid %d", h.workerID, h.host, h.pid)
	}
	return fmt.Sprintf("a client on %s, pid %d", h.host, h.pid)
}

// parseHello reads the argument of HELLO and checks the password, if there is one.
func parseHello(text, password, salt string) (hello, error) {
	v, err := fastjson.Parse(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		return hello{}, errors.New("HELLO takes a JSON object")
	}
	if v.GetInt("v") != 2 {
		return hello{}, errors.New("this server speaks version 2")
	}
	want, got := passwordHash(password, salt, hashIterations), string(v.GetStringBytes("pwdhash"))
	if password != "" && subtle.ConstantTimeCompare([]byte(want), []byte(got)) != 1 {
		return hello{}, errors.New("invalid password")
	}
	h := hello{workerID: string(v.GetStringBytes("wid")), host: string(v.GetStringBytes("hostname")), pid: v.GetInt("pid")}
	for _, l := range v.GetArray("labels") {
		h.labels = append(h.labels, string(l.GetStringBytes()))
	}
	if len(h.workerID) > maxNameLength || len(h.host) > 2*maxNameLength || len(h.labels) > maxNameLength {
		return hello{}, errors.New("the wid, the hostname or the labels are too long")
	}
	return h, nil
}
