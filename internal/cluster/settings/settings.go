// Package settings reads the settings file that the platform gives each process.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// PathVariable names the environment variable with the settings file's path.
const PathVariable = "BASALTLOFT_BOOT"

// DefaultPath is read where the variable is not set.
const DefaultPath = "/etc/basaltloft/settings.yaml"

// Settings are what a process is told of its machine and its deployment.
type Settings struct {
	NodeName        string         `yaml:"node_name"`
	IP              string         `yaml:"ip"`
	Zone            string         `yaml:"zone"`
	Region          string         `yaml:"region"`
	Listen          Listen         `yaml:"listen"`
	PortRange       []int          `yaml:"port_range"`
	Seeds           []string       `yaml:"seeds"`
	Bootstrap       bool           `yaml:"bootstrap"`
	CountsForQuorum bool           `yaml:"counts_for_quorum"`
	Limits          Limits         `yaml:"limits"`
	DataDir         string         `yaml:"data_dir"`
	FaultTolerance  FaultTolerance `yaml:"fault_tolerance"`
	Bounds          Bounds         `yaml:"bounds"`
	Commands        string         `yaml:"commands"`
	CloudAPI        CloudAPI       `yaml:"cloud_api"`
}

// Listen are the addresses, as host:port, of what a process serves to others.
type Listen struct {
	HTTP      string `yaml:"http"`
	Readiness string `yaml:"readiness"`
	Control   string `yaml:"control"`
}

// Limits are the process's bounds.
type Limits struct {
	CPUQuota float64 `yaml:"cpu_quota"`
	MemoryMB int     `yaml:"memory_mb"`
	MaxFDs   int     `yaml:"max_fds"`
	DiskMB   int     `yaml:"disk_mb"`
}

// FaultTolerance are what may be lost at once.
type FaultTolerance struct {
	Machines int `yaml:"machines"`
	Zones    int `yaml:"zones"`
	Regions  int `yaml:"regions"`
}

// Bounds are the spans that the deployment's rules name, in the units of their names.
type Bounds struct {
	ContactMs        int64   `yaml:"contact_ms"`
	AckMs            int64   `yaml:"ack_ms"`
	DrainMs          int64   `yaml:"drain_ms"`
	GraceS           float64 `yaml:"grace_s"`
	ConfigApplyMs    int64   `yaml:"config_apply_ms"`
	MaxLeaseMs       int64   `yaml:"hold_max_ms"`
	StopMs           int64   `yaml:"stop_ms"`
	GangMs           int64   `yaml:"gang_ms"`
	CancelMs         int64   `yaml:"cancel_ms"`
	VisibleMs        int64   `yaml:"visible_ms"`
	EarlyMs          int64   `yaml:"early_ms"`
	StatusRetentionS float64 `yaml:"status_s"`
	RemoteSlowdown   float64 `yaml:"far_x"`
	CheckpointS      float64 `yaml:"save_s"`
	RestoreMs        int64   `yaml:"restore_ms"`
}

// CloudAPI is where the platform's list of runners is.
type CloudAPI struct {
	Address      string  `yaml:"address"`
	RequestsPerS float64 `yaml:"rate_per_s"`
	MaxLagMs     int64   `yaml:"max_lag_ms"`
}

// Path returns where this process's settings are.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads a settings file and checks it. Fields that are not known are skipped.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read the settings: set %s to the file's path", PathVariable)
	}
	return Parse(content)
}

// Parse reads settings and checks them.
func Parse(content []byte) (Settings, error) {
	settings := Settings{}
	if err := yaml.Unmarshal(content, &settings); err != nil {
		return Settings{}, errors.Wrap(err, "the settings are not YAML of the form that is described")
	}
	settings.fill()
	return settings, settings.check()
}

// fill sets what may be left out.
func (s *Settings) fill() {
	for _, b := range []struct {
		field  *int64
		normal int64
	}{
		{&s.Bounds.ContactMs, 3000}, {&s.Bounds.AckMs, 4000}, {&s.Bounds.DrainMs, 3000}, {&s.Bounds.ConfigApplyMs, 2000},
		{&s.Bounds.MaxLeaseMs, 6000}, {&s.Bounds.StopMs, 400}, {&s.Bounds.GangMs, 3000}, {&s.Bounds.CancelMs, 3000},
		{&s.Bounds.EarlyMs, 250}, {&s.Bounds.RestoreMs, 250},
	} {
		if *b.field == 0 {
			*b.field = b.normal
		}
	}
	if s.Bounds.GraceS == 0 {
		s.Bounds.GraceS = 6
	}
	if s.Bounds.StatusRetentionS == 0 {
		s.Bounds.StatusRetentionS = 120
	}
	if s.Bounds.RemoteSlowdown < 1 {
		s.Bounds.RemoteSlowdown = 1
	}
}

func (s *Settings) check() error {
	var wrong error
	note := func(ok bool, message string) {
		if !ok {
			wrong = errors.Join(wrong, errors.New(message))
		}
	}
	note(net.ParseIP(s.IP) != nil, "ip is not an IP address: give this machine's")
	note(len(s.PortRange) == 2 && s.PortRange[0] > 0 && s.PortRange[0] <= s.PortRange[1] && s.PortRange[1] < 1<<16,
		"port_range is not two rising ports: give the first and the last")
	note(len(s.Seeds) > 0, "seeds is empty: name the control address of a core machine")
	note(s.Limits.MemoryMB >= 0 && s.FaultTolerance.Machines >= 0, "limits and fault_tolerance must not be negative")
	for _, seed := range s.Seeds {
		_, _, err := net.SplitHostPort(seed)
		note(err == nil, "seeds has "+strconv.Quote(seed)+": write host:port")
	}
	return errors.Wrap(wrong, "the settings can't be used")
}

// InternalAddress returns where the process of a machine hears other dispatchers.
func (s *Settings) InternalAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]))
}

// SeedAddresses returns the seeds' addresses for other dispatchers.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			addresses = append(addresses, s.InternalAddress(host))
		}
	}
	return addresses
}

// MaxLease returns the longest hold of a runner.
func (b *Bounds) MaxLease() time.Duration { return time.Duration(b.MaxLeaseMs) * time.Millisecond }

// Grace returns how long a process has from SIGTERM to its end.
func (b *Bounds) Grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }
