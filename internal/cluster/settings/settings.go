// Package settings reads the settings file that the platform writes for each process of the cluster
// scheduler. The platform defines the keys; the scheduler's own names are those of the fields.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"basaltloft/internal/shared/saturating"
)

// PathVariable is the environment variable with the path of the settings file.
const PathVariable = "BASALTLOFT_BOOT"

// DefaultPath is the path of the settings file if PathVariable is not set.
const DefaultPath = "/etc/basaltloft/settings.yaml"

// Settings describe a process's machine and its deployment.
type Settings struct {
	// NodeName is the process's name in the log and in status responses.
	NodeName string `yaml:"node_name"`
	// IP is the machine's address, at which the process serves the other processes.
	IP     string `yaml:"ip"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	Listen Listen `yaml:"listen"`
	// PortRange is the first and the last port that the process may use at IP.
	PortRange []int `yaml:"port_range"`
	// Seeds are control addresses (host:port) of control-plane nodes.
	Seeds []string `yaml:"seeds"`
	// Bootstrap allows the process to form the replica groups at the first start of a deployment.
	Bootstrap       bool   `yaml:"bootstrap"`
	CountsForQuorum bool   `yaml:"counts_for_quorum"`
	Limits          Limits `yaml:"limits"`
	// DataDir is the data directory of a control-plane node.
	DataDir        string         `yaml:"data_dir"`
	FaultTolerance FaultTolerance `yaml:"fault_tolerance"`
	Bounds         Bounds         `yaml:"bounds"`
	// Commands is how orders reach the runners: rpc or heartbeat.
	Commands string   `yaml:"commands"`
	CloudAPI CloudAPI `yaml:"cloud_api"`
}

// Listen holds the addresses, as host:port, at which a process serves callers other than its peers.
type Listen struct {
	HTTP      string `yaml:"http"`      // clients
	Readiness string `yaml:"readiness"` // the platform
	Control   string `yaml:"control"`   // operators
}

// Limits are the resources that the platform allows the process. 0: not limited.
type Limits struct {
	CPUQuota float64 `yaml:"cpu_quota"` // in cores
	MemoryMB int     `yaml:"memory_mb"`
	MaxFDs   int     `yaml:"max_fds"`
	DiskMB   int     `yaml:"disk_mb"`
}

// FaultTolerance is how many machines, zones and regions the deployment must be able to lose at once.
type FaultTolerance struct {
	Machines int `yaml:"machines"`
	Zones    int `yaml:"zones"`
	Regions  int `yaml:"regions"`
}

// Bounds are the time limits and factors of the deployment's protocol. The ending of a name is its unit, ms
// or s. After Parse, a bound that the file leaves out has its default, if there is one.
type Bounds struct {
	ContactMs        int64   `yaml:"contact_ms"`
	AckMs            int64   `yaml:"ack_ms"`
	DrainMs          int64   `yaml:"drain_ms"`
	GraceS           float64 `yaml:"grace_s"`         // from SIGTERM to SIGKILL
	ConfigApplyMs    int64   `yaml:"config_apply_ms"` // until a new configuration is in force everywhere
	MaxLeaseMs       int64   `yaml:"hold_max_ms"`     // longest lease of a runner's tasks
	StopMs           int64   `yaml:"stop_ms"`         // until a runner has stopped a task
	GangMs           int64   `yaml:"gang_ms"`         // wait of a gang's task for the others
	CancelMs         int64   `yaml:"cancel_ms"`
	VisibleMs        int64   `yaml:"visible_ms"`
	EarlyMs          int64   `yaml:"early_ms"`
	StatusRetentionS float64 `yaml:"status_s"` // for which the state of a job that has ended can be queried
	RemoteSlowdown   float64 `yaml:"far_x"`    // run time away from the data over that beside it, at least 1
	CheckpointS      float64 `yaml:"save_s"`   // a task's work between two checkpoints
	RestoreMs        int64   `yaml:"restore_ms"`
}

// CloudAPI describes the platform's API that lists the runners.
type CloudAPI struct {
	Address      string  `yaml:"address"`    // host:port
	RequestsPerS float64 `yaml:"rate_per_s"` // allowed request rate
	MaxLagMs     int64   `yaml:"max_lag_ms"` // maximum age of its responses
}

// Path returns the path of this process's settings file.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and checks a settings file, as Parse does.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read the settings: set %s to the file's path", PathVariable)
	}
	return Parse(content)
}

// Parse reads settings in YAML, sets the defaults of what is left out, and checks the settings: an error
// names each fault. Unknown keys are ignored, since the platform may write newer keys than this build reads.
func Parse(content []byte) (Settings, error) {
	settings := Settings{}
	if err := yaml.Unmarshal(content, &settings); err != nil {
		return Settings{}, errors.Wrap(err, "the settings are not YAML of the documented form")
	}
	settings.setDefaults()
	return settings, settings.check()
}

// Defaults of the bounds in seconds.
const (
	defaultGraceS           = 6
	defaultStatusRetentionS = 120
)

// setDefaults sets the bounds that were left out.
func (s *Settings) setDefaults() {
	for _, bound := range []struct {
		field *int64
		value int64
	}{
		{&s.Bounds.ContactMs, 3000}, {&s.Bounds.AckMs, 4000}, {&s.Bounds.DrainMs, 3000}, {&s.Bounds.ConfigApplyMs, 2000},
		{&s.Bounds.MaxLeaseMs, 6000}, {&s.Bounds.StopMs, 400}, {&s.Bounds.GangMs, 3000}, {&s.Bounds.CancelMs, 3000},
		{&s.Bounds.EarlyMs, 250}, {&s.Bounds.RestoreMs, 250},
	} {
		if *bound.field == 0 {
			*bound.field = bound.value
		}
	}
	if s.Bounds.GraceS == 0 {
		s.Bounds.GraceS = defaultGraceS
	}
	if s.Bounds.StatusRetentionS == 0 {
		s.Bounds.StatusRetentionS = defaultStatusRetentionS
	}
	if s.Bounds.RemoteSlowdown < 1 {
		s.Bounds.RemoteSlowdown = 1
	}
}

// check returns an error that joins all faults, or nil.
func (s *Settings) check() error {
	var faults error
	require := func(ok bool, fault string) {
		if !ok {
			faults = errors.Join(faults, errors.New(fault))
		}
	}
	require(net.ParseIP(s.IP) != nil, "ip is not an IP address: give this machine's address")
	require(len(s.PortRange) == 2 && s.PortRange[0] > 0 && s.PortRange[0] <= s.PortRange[1] && s.PortRange[1] < 1<<16,
		"port_range is not two ports in ascending order: give the first and the last")
	require(len(s.Seeds) > 0, "seeds is empty: name the control address of a core machine")
	require(s.Limits.MemoryMB >= 0 && s.FaultTolerance.Machines >= 0, "limits and fault_tolerance must not be negative")
	for _, seed := range s.Seeds {
		_, _, err := net.SplitHostPort(seed)
		require(err == nil, "seeds has "+strconv.Quote(seed)+": write host:port")
	}
	return errors.Wrap(faults, "the settings can't be used")
}

// InternalAddress returns the address at which the process of the machine ip serves the other processes.
func (s *Settings) InternalAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]))
}

// SeedAddresses returns the internal addresses of the seeds. Parse has checked the form of the seeds.
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

// MaxLease returns the longest lease of a runner's tasks.
func (b *Bounds) MaxLease() time.Duration { return time.Duration(b.MaxLeaseMs) * time.Millisecond }

// Grace returns how long the platform waits from SIGTERM to SIGKILL.
func (b *Bounds) Grace() time.Duration { return saturating.Duration(b.GraceS * float64(time.Second)) }
