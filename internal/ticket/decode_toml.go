package ticket

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// document is a ticket file whose objects are read one by one, so that a
// fault in one doesn't hide those of the others.
type document struct {
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

// DecodeTOML reads a ticket as an operator writes it. Every unknown key and
// the first unreadable value of every object are in one *DecodeError.
func DecodeTOML(text []byte) (*Ticket, error) {
	var doc document
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&doc)
	if err != nil {
		return nil, errors.WithStack(&DecodeError{Problems: []string{err.Error()}})
	}
	r := &tomlReader{meta: meta}
	t := &Ticket{
		Number:         doc.Number,
		Author:         doc.Author,
		Summary:        doc.Summary,
		AllowStranding: doc.AllowStranding,
		Classes:        readObjects[Class](r, "class", doc.Classes),
		Workspaces:     readObjects[Workspace](r, "workspace", doc.Workspaces),
		Models:         readObjects[Model](r, "model", doc.Models),
		Services:       readObjects[Service](r, "service", doc.Services),
		EndpointGroups: readObjects[EndpointGroup](r, "endpoint_group", doc.EndpointGroups),
		Limits:         readLimits(r, doc.Limits),
		Removals:       readObjects[Removal](r, "remove", doc.Removals),
	}
	r.unknownKeys()
	if len(r.problems) > 0 {
		return nil, errors.WithStack(&DecodeError{Problems: r.problems})
	}
	return t, nil
}

// tomlReader collects the problems of one file.
type tomlReader struct {
	meta     toml.MetaData
	problems []string
}

func readObjects[V any](r *tomlReader, table string, raw []toml.Primitive) []V {
	var values []V
	for _, p := range raw {
		var v V
		if err := r.meta.PrimitiveDecode(p, &v); err != nil {
			r.problems = append(r.problems, "[["+table+"]]: "+err.Error())
		}
		values = append(values, v)
	}
	return values
}

// limitFields tells a field that was left out from one that is 0.
type limitFields struct {
	Name              string `toml:"name" json:"name"`
	RequestsPerSecond *int   `toml:"requests_per_second" json:"requests_per_second"`
	Concurrency       *int   `toml:"concurrency" json:"concurrency"`
	TokensPerSecond   *int   `toml:"tokens_per_second" json:"tokens_per_second"`
}

// explicitZero stands for a 0 that was written out: Apply refuses it, while a
// field that was left out is 0 and means no bound.
const explicitZero = -1

func (f limitFields) limit() Limit {
	return Limit{
		Name:              f.Name,
		RequestsPerSecond: written(f.RequestsPerSecond),
		Concurrency:       written(f.Concurrency),
		TokensPerSecond:   written(f.TokensPerSecond),
	}
}

func written(v *int) int {
	switch {
	case v == nil:
		return 0
	case *v == 0:
		return explicitZero
	}
	return *v
}

func readLimits(r *tomlReader, raw []toml.Primitive) []Limit {
	var limits []Limit
	for _, fields := range readObjects[limitFields](r, "limit", raw) {
		limits = append(limits, fields.limit())
	}
	return limits
}

// UnmarshalJSON reads a limit and keeps a 0 that was written out apart from a
// field that was left out.
func (l *Limit) UnmarshalJSON(data []byte) error {
	var fields limitFields
	if err := decodeStrict(data, &fields); err != nil {
		return err
	}
	*l = fields.limit()
	return nil
}

// unknownKeys reports each key that no object has, with the nearest that one
// does have.
func (r *tomlReader) unknownKeys() {
	for _, key := range r.meta.Undecoded() {
		problem := "unknown key " + key.String()
		if near, found := nearest(key[len(key)-1], knownKeys(key)); found {
			problem += "; did you mean " + near + "?"
		}
		r.problems = append(r.problems, problem)
	}
}

// tables holds the type behind each table of a ticket file.
var tables = map[string]reflect.Type{
	"class":          reflect.TypeFor[Class](),
	"workspace":      reflect.TypeFor[Workspace](),
	"model":          reflect.TypeFor[Model](),
	"service":        reflect.TypeFor[Service](),
	"endpoint_group": reflect.TypeFor[EndpointGroup](),
	"limit":          reflect.TypeFor[Limit](),
	"remove":         reflect.TypeFor[Removal](),
}

func knownKeys(key toml.Key) map[string]struct{} {
	of := reflect.TypeFor[document]()
	if table, found := tables[key[0]]; found && len(key) > 1 {
		of = table
	}
	known := map[string]struct{}{}
	for i := range of.NumField() {
		name, _, _ := strings.Cut(of.Field(i).Tag.Get("toml"), ",")
		known[name] = struct{}{}
	}
	return known
}
