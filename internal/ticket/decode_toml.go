package ticket

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// ticketFile is the top level of a ticket file. Each object is decoded on its
// own, so that an error in one does not hide errors in the others.
type ticketFile struct {
	Number         uint64           `toml:"number"`
	Author         string           `toml:"author"`
	Summary        string           `toml:"summary"`
	Classes        []toml.Primitive `toml:"class"`
	Workspaces     []toml.Primitive `toml:"workspace"`
	Models         []toml.Primitive `toml:"model"`
	Services       []toml.Primitive `toml:"service"`
	EndpointGroups []toml.Primitive `toml:"endpoint_group"`
	Limits         []toml.Primitive `toml:"limit"`
	Removals       []toml.Primitive `toml:"remove"`
	AllowStranding bool             `toml:"allow_stranding"`
}

// DecodeTOML decodes a ticket file. The returned *DecodeError lists every
// unknown key and the first malformed value of each object.
func DecodeTOML(text []byte) (*Ticket, error) {
	var file ticketFile
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&file)
	if err != nil {
		return nil, errors.WithStack(&DecodeError{Problems: []string{err.Error()}})
	}
	d := &tomlDecoder{meta: meta}
	t := &Ticket{
		Number:         file.Number,
		Author:         file.Author,
		Summary:        file.Summary,
		AllowStranding: file.AllowStranding,
		Classes:        decodeObjects[Class](d, "class", file.Classes),
		Workspaces:     decodeObjects[Workspace](d, "workspace", file.Workspaces),
		Models:         decodeObjects[Model](d, "model", file.Models),
		Services:       decodeObjects[Service](d, "service", file.Services),
		EndpointGroups: decodeObjects[EndpointGroup](d, "endpoint_group", file.EndpointGroups),
		Limits:         decodeLimits(d, file.Limits),
		Removals:       decodeObjects[Removal](d, "remove", file.Removals),
	}
	d.reportUnknownKeys()
	if len(d.problems) > 0 {
		return nil, errors.WithStack(&DecodeError{Problems: d.problems})
	}
	return t, nil
}

// tomlDecoder decodes the objects of one ticket file and collects the problems.
type tomlDecoder struct {
	meta     toml.MetaData
	problems []string
}

func decodeObjects[V any](d *tomlDecoder, table string, raw []toml.Primitive) []V {
	var values []V
	for _, p := range raw {
		var v V
		if err := d.meta.PrimitiveDecode(p, &v); err != nil {
			d.problems = append(d.problems, "[["+table+"]]: "+err.Error())
		}
		values = append(values, v)
	}
	return values
}

// limitFields is a Limit with pointers, which distinguish an omitted field from
// an explicit 0.
type limitFields struct {
	Name              string `toml:"name" json:"name"`
	RequestsPerSecond *int   `toml:"requests_per_second" json:"requests_per_second"`
	Concurrency       *int   `toml:"concurrency" json:"concurrency"`
	TokensPerSecond   *int   `toml:"tokens_per_second" json:"tokens_per_second"`
}

// explicitZero represents a 0 written in the ticket, which Apply refuses. An
// omitted field is 0 and means no bound.
const explicitZero = -1

func (f limitFields) toLimit() Limit {
	return Limit{
		Name:              f.Name,
		RequestsPerSecond: limitValue(f.RequestsPerSecond),
		Concurrency:       limitValue(f.Concurrency),
		TokensPerSecond:   limitValue(f.TokensPerSecond),
	}
}

func limitValue(v *int) int {
	switch {
	case v == nil:
		return 0
	case *v == 0:
		return explicitZero
	}
	return *v
}

func decodeLimits(d *tomlDecoder, raw []toml.Primitive) []Limit {
	var limits []Limit
	for _, fields := range decodeObjects[limitFields](d, "limit", raw) {
		limits = append(limits, fields.toLimit())
	}
	return limits
}

// UnmarshalJSON decodes a limit and distinguishes an explicit 0 from an omitted
// field.
func (l *Limit) UnmarshalJSON(data []byte) error {
	var fields limitFields
	if err := decodeStrict(data, &fields); err != nil {
		return err
	}
	*l = fields.toLimit()
	return nil
}

// reportUnknownKeys adds a problem for each unknown key and suggests the closest
// key that its table has.
func (d *tomlDecoder) reportUnknownKeys() {
	for _, key := range d.meta.Undecoded() {
		problem := "unknown key " + key.String()
		if closest, found := closestName(key[len(key)-1], knownKeys(key)); found {
			problem += "; did you mean " + closest + "?"
		}
		d.problems = append(d.problems, problem)
	}
}

// tableTypes maps each table of a ticket file to the type of its objects.
var tableTypes = map[string]reflect.Type{
	"class":          reflect.TypeFor[Class](),
	"workspace":      reflect.TypeFor[Workspace](),
	"model":          reflect.TypeFor[Model](),
	"service":        reflect.TypeFor[Service](),
	"endpoint_group": reflect.TypeFor[EndpointGroup](),
	"limit":          reflect.TypeFor[Limit](),
	"remove":         reflect.TypeFor[Removal](),
}

func knownKeys(key toml.Key) map[string]struct{} {
	tableType := reflect.TypeFor[ticketFile]()
	if table, found := tableTypes[key[0]]; found && len(key) > 1 {
		tableType = table
	}
	known := map[string]struct{}{}
	for i := range tableType.NumField() {
		name, _, _ := strings.Cut(tableType.Field(i).Tag.Get("toml"), ",")
		known[name] = struct{}{}
	}
	return known
}
