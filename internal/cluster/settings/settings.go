// Package settings reads the settings file that the platform gives each process of the cluster
// scheduler. Its keys are the platform's; the names of the fields are the scheduler's.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// PathVariable is the environment variable that names the settings file.
const PathVariable = "BASALTLOFT_BOOT"

// DefaultPath is the settings file where PathVariable is not set.
const DefaultPath = "/etc/basaltloft/settings.yaml"

// Settings are what the platform tells a process of its machine and its deployment.
type Settings struct {
	// NodeName is the process's name in the log and in status answers.
	NodeName string `yaml:"node_name"`
	// IP is the machine's address, where the process serves other processes.
	IP     string `yaml:"ip"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	Listen Listen `yaml:"listen"`
	// PortRange is the first and the last port that the process may use at IP.
	PortRange []int `yaml:"port_range"`
	// Seeds are control addresses (host:port) of control-plane nodes.
	Seeds []string `yaml:"seeds"`
	// Bootstrap allows the first start of a deployment to form the replica groups.
	Bootstrap       bool   `yaml:"bootstrap"`
	CountsForQuorum bool   `yaml:"counts_for_quorum"`
	Limits          Limits `yaml:"limits"`
	// DataDir is the folder on disk of a control-plane node.
	DataDir        string         `yaml:"data_dir"`
	FaultTolerance FaultTolerance `yaml:"fault_tolerance"`
	Bounds         Bounds         `yaml:"bounds"`
	// Commands is how runners are told what to do: rpc or heartbeat.
	Commands string   `yaml:"commands"`
	CloudAPI CloudAPI `yaml:"cloud_api"`
}

// Listen holds the addresses, as host:port, where a process serves others than its peers.
type Listen struct {
	HTTP      string `yaml:"http"`      // clients
	Readiness string `yaml:"readiness"` // the platform
	Control   string `yaml:"control"`   // operators
}

// Limits are what the platform allows the process. 0: not limited.
type Limits struct {
	CPUQuota float64 `yaml:"cpu_quota"` // in cores
	MemoryMB int     `yaml:"memory_mb"`
	MaxFDs   int     `yaml:"max_fds"`
	DiskMB   int     `yaml:"disk_mb"`
}

// FaultTolerance is how many of each the deployment must be able to lose at once.
type FaultTolerance struct {
	Machines int `yaml:"machines"`
	Zones    int `yaml:"zones"`
	Regions  int `yaml:"regions"`
}

// Bounds are the times and factors of the deployment's rules. A name ends with its unit, ms or s.
// What is left out has its usual value after Parse, where it has one.
type Bounds struct {
	ContactMs        int64   `yaml:"contact_ms"`
	AckMs            int64   `yaml:"ack_ms"`
	DrainMs          int64   `yaml:"drain_ms"`
	GraceS           float64 `yaml:"grace_s"`         // from SIGTERM to SIGKILL
	ConfigApplyMs    int64   `yaml:"config_apply_ms"` // a new configuration is acted on everywhere
	MaxLeaseMs       int64   `yaml:"hold_max_ms"`     // longest lease of a runner's tasks
	StopMs           int64   `yaml:"stop_ms"`         // a runner stops a task
	GangMs           int64   `yaml:"gang_ms"`         // a gang's task waits for the others
	CancelMs         int64   `yaml:"cancel_ms"`
	VisibleMs        int64   `yaml:"visible_ms"`
	EarlyMs          int64   `yaml:"early_ms"`
	StatusRetentionS float64 `yaml:"status_s"` // the state of a job that has ended can be asked for
	RemoteSlowdown   float64 `yaml:"far_x"`    // run time away from the data over that beside it, at least 1
	CheckpointS      float64 `yaml:"save_s"`   // work between two checkpoints
	RestoreMs        int64   `yaml:"restore_ms"`
}

// CloudAPI is where the platform lists the runners.
type CloudAPI struct {
	Address      string  `yaml:"address"`    // host:port
	RequestsPerS float64 `yaml:"rate_per_s"` // allowed rate
	MaxLagMs     int64   `yaml:"max_lag_ms"` // age of what it answers
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

// Parse reads settings in YAML, fills in what is left out, and checks them: an error names each
// fault. Unknown keys are skipped, since the platform may give more than this build knows.
func Parse(content []byte) (Settings, error) {
	settings := Settings{}
	if err := yaml.Unmarshal(content, &settings); err != nil {
		return Settings{}, errors.Wrap(err, "the settings are not YAML of the form that is described")
	}
	settings.setDefaults()
	return settings, settings.check()
}

// Usual values of bounds in seconds.
const (
	usualGraceS           = 6
	usualStatusRetentionS = 120
)

// setDefaults sets what was left out.
func (s *Settings) setDefaults() {
	for _, bound := range []struct {
		field *int64
		usual int64
	}{
		{&s.Bounds.ContactMs, 3000}, {&s.Bounds.AckMs, 4000}, {&s.Bounds.DrainMs, 3000}, {&s.Bounds.ConfigApplyMs, 2000},
		{&s.Bounds.MaxLeaseMs, 6000}, {&s.Bounds.StopMs, 400}, {&s.Bounds.GangMs, 3000}, {&s.Bounds.CancelMs, 3000},
		{&s.Bounds.EarlyMs, 250}, {&s.Bounds.RestoreMs, 250},
	} {
		if *bound.field == 0 {
			*bound.field = bound.usual
		}
	}
	if s.Bounds.GraceS == 0 {
		s.Bounds.GraceS = usualGraceS
	}
	if s.Bounds.StatusRetentionS == 0 {
		s.Bounds.StatusRetentionS = usualStatusRetentionS
	}
	if s.Bounds.RemoteSlowdown < 1 {
		s.Bounds.RemoteSlowdown = 1
	}
}

// check returns all faults as one error.
func (s *Settings) check() error {
	var faults error
	require := func(ok bool, fault string) {
		if !ok {
			faults = errors.Join(faults, errors.New(fault))
		}
	}
	require(net.ParseIP(s.IP) != nil, "ip is not an IP address: give this machine's")
	require(len(s.PortRange) == 2 && s.PortRange[0] > 0 && s.PortRange[0] <= s.PortRange[1] && s.PortRange[1] < 1<<16,
		"port_range is not two rising ports: give the first and the last")
	require(len(s.Seeds) > 0, "seeds is empty: name the control address of a core machine")
	require(s.Limits.MemoryMB >= 0 && s.FaultTolerance.Machines >= 0, "limits and fault_tolerance must not be negative")
	for _, seed := range s.Seeds {
		_, _, err := net.SplitHostPort(seed)
		require(err == nil, "seeds has "+strconv.Quote(seed)+": write host:port")
	}
	return errors.Wrap(faults, "the settings can't be used")
}

// InternalAddress returns where the process of a machine serves the other processes.
func (s *Settings) InternalAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]))
}

// SeedAddresses returns the internal addresses of the seeds. Parse has checked their form.
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
func (b *Bounds) Grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }
