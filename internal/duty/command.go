package duty

import (
	"encoding/binary"
)

// commandKind is the first byte of a command.
type commandKind uint8

const (
	acquire commandKind = iota + 1
	renew
	agreeUsage
	settleUsage
	release
)

// Kinds of commands on orders of endpoints.
const (
	agreeOrder commandKind = iota + 16
	settleOrder
)

// Holdership names the holder that proposes a command. Stamp is the number of the command in the
// life of the process.
type Holdership struct {
	Token uint64
	Life  uint64
	Stamp uint64
}

// command is a decoded command.
type command struct {
	kind     commandKind
	token    uint64 // of the holder; in an acquisition, the one seen
	life     uint64
	stamp    uint64
	sequence uint64 // seen by an acquisition
	host     uint64
	hostName string
	window   uint64
	outcome  Outcome
	counts   []byte
	order    WantedOrder
	number   uint64 // of an order
}

const commandHeadBytes = 1 + 3*8 // kind, token, life, stamp

func appendHead(kind commandKind, h Holdership) []byte {
	b := binary.BigEndian.AppendUint64([]byte{byte(kind)}, h.Token)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, h.Life), h.Stamp)
}

// EncodeAcquire encodes the command that makes a process the holder, unless another command was
// accepted since the holding that it saw.
func EncodeAcquire(host uint64, hostName string, life, stamp uint64, seen Holding) []byte {
	b := appendHead(acquire, Holdership{Token: seen.Token, Life: life, Stamp: stamp})
	b = binary.BigEndian.AppendUint64(b, seen.Sequence)
	return append(binary.BigEndian.AppendUint64(b, host), hostName...)
}

// EncodeRenew encodes the command by which a holder shows that it still holds the duties.
func EncodeRenew(h Holdership) []byte { return appendHead(renew, h) }

// EncodeRelease encodes the command by which a holder that makes no further call gives up the
// duties.
func EncodeRelease(h Holdership) []byte { return appendHead(release, h) }

// EncodeAgreeUsage encodes the command that stores what is reported of a window; counts are of
// EncodeCounts.
func EncodeAgreeUsage(h Holdership, window uint64, counts []byte) []byte {
	return append(binary.BigEndian.AppendUint64(appendHead(agreeUsage, h), window), counts...)
}

// EncodeSettleUsage encodes the command that ends the report of a window.
func EncodeSettleUsage(h Holdership, window uint64, outcome Outcome) []byte {
	return append(binary.BigEndian.AppendUint64(appendHead(settleUsage, h), window), byte(outcome))
}

// decodeCommand decodes a command; ok is false if it is malformed.
func decodeCommand(b []byte) (c command, ok bool) {
	if len(b) < commandHeadBytes {
		return command{}, false
	}
	c = command{
		kind:  commandKind(b[0]),
		token: binary.BigEndian.Uint64(b[1:]),
		life:  binary.BigEndian.Uint64(b[9:]),
		stamp: binary.BigEndian.Uint64(b[17:]),
	}
	if c.life == 0 {
		return command{}, false
	}
	return c, c.decodeBody(b[commandHeadBytes:])
}

func (c *command) decodeBody(b []byte) bool {
	switch c.kind {
	case renew, release:
		return len(b) == 0
	case acquire:
		if len(b) < 16 || len(b) > 16+MaxHostNameBytes {
			return false
		}
		c.sequence, c.host = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
		c.hostName = string(b[16:])
		return true
	case agreeUsage:
		if len(b) < 8 || len(b) > 8+MaxCountsBytes {
			return false
		}
		c.window, c.counts = binary.BigEndian.Uint64(b), b[8:]
		_, ok := DecodeCounts(c.counts)
		return ok
	case settleUsage:
		if len(b) != 9 {
			return false
		}
		c.window, c.outcome = binary.BigEndian.Uint64(b), Outcome(b[8])
		return c.outcome == Delivered || c.outcome == Abandoned
	case agreeOrder:
		body := cutter{rest: b, ok: true}
		c.order.Subject = body.subject()
		c.order.Desired = body.number()
		return body.ok && len(body.rest) == 0 && c.order.valid()
	case settleOrder:
		if len(b) != 9 {
			return false
		}
		c.number, c.outcome = binary.BigEndian.Uint64(b), Outcome(b[8])
		return c.outcome == Delivered || c.outcome == Abandoned
	}
	return false
}
