package simprotocol

import (
	"errors"
	"fmt"

	"basaltloft/internal/dispatcher/policy"
)

// roster decodes ROSTER, a numbered list of members, with the ROW lines that follow it. A later DISCOVERY
// refers to the list by its number.
func (d *Decoder) roster() error {
	id, err := d.listID()
	if err != nil {
		return fmt.Errorf("ROSTER: %w", err)
	}
	count, err := d.integer("records")
	if err != nil || count < 0 {
		return fmt.Errorf("ROSTER: bad records: %w", orOutOfRange(err))
	}
	var members []policy.Member
	for range count {
		if !d.scan() {
			return errors.New("ROSTER: input ends inside a list")
		}
		m, err := d.row(d.in.Bytes())
		if err != nil {
			return err
		}
		members = append(members, m)
	}
	d.memberLists[id], d.listDefined[id] = members, true
	return nil
}

// orOutOfRange returns err, or an "out of range" error if err is nil.
func orOutOfRange(err error) error {
	if err == nil {
		return errors.New("out of range")
	}
	return err
}

// listID decodes the number of a list of members.
func (d *Decoder) listID() (int, error) {
	n, err := d.integer("set_id")
	if err != nil {
		return 0, err
	}
	if n < 0 || n >= maxLists {
		return 0, fmt.Errorf("set_id: %d is out of range", n)
	}
	return int(n), nil
}

// row decodes ROW, one member of a list.
func (d *Decoder) row(line []byte) (policy.Member, error) {
	var m policy.Member
	name, err := d.split(line)
	if err != nil {
		return m, err
	}
	if string(name) != "ROW" {
		return m, fmt.Errorf("%q where a ROW belongs", name)
	}
	in := fieldReader{d: d}
	m.Number = in.worker()
	m.Kind, m.Zone = d.optionalInterned("type"), d.optionalInterned("dc")
	m.Cell = int(in.optionalInt("cluster"))
	m.StartedAt = in.optionalDuration("since")
	m.Weight = in.optionalFloat("scale")
	if in.err != nil {
		return m, fmt.Errorf("ROW: %w", in.err)
	}
	switch state, _ := d.field("stage_state"); string(state) {
	case "healthy":
		m.State = policy.Ready
	case "cordoned":
		m.State = policy.Draining
	case "deregistered":
		m.State = policy.Removed
	default:
		return m, fmt.Errorf("ROW: stage_state: unknown state %q", state)
	}
	return m, nil
}

// members decodes DISCOVERY: a list of members, or the failure to get one.
func (d *Decoder) members() error {
	kind, err := d.required("kind")
	if err != nil {
		return err
	}
	switch string(kind) {
	case "update":
		d.event.ListKind = policy.ListDelta
	case "replace":
		d.event.ListKind = policy.ListSnapshot
	case "restored":
		d.event.ListKind = policy.ListRestored
	case "unavailable":
		d.event.ListKind, d.event.Members = policy.ListFailed, nil
		return nil
	default:
		return fmt.Errorf("kind: unknown kind %q", kind)
	}
	id, err := d.listID()
	if err != nil {
		return err
	}
	if !d.listDefined[id] {
		return fmt.Errorf("set_id: no list %d yet", id)
	}
	d.event.Members = d.memberLists[id]
	return nil
}
