package answers

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxSize is the size of the largest accepted file in bytes. The samples with 48
// instances take 4 KB, and the two-year goal for a site is 720 instances.
const MaxSize = 1 << 20

// MaxDepth bounds the nesting of brackets in a file. Valid answers use 6 levels;
// the bound keeps hostile input from exhausting the parser's stack.
const MaxDepth = 64

// Read parses and checks an answers file. If there are problems, it returns all
// of them in the order of their position, and no answers.
func Read(data []byte) (*Answers, []Problem) {
	root, problem := parse(data)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	d := &decoder{positions: map[string]Position{}, faulty: newFaultyPaths()}
	a := &Answers{positions: d.positions}
	d.value("", root, reflect.ValueOf(a).Elem(), "the answers as key: value lines")
	problems := d.problems
	if !d.faulty.at[""] {
		problems = append(problems, check(a, d.faulty)...)
	}
	if len(problems) > 0 {
		return nil, sortByPosition(problems)
	}
	return a, nil
}

// parse returns the root of the only document. A syntax error is reported alone,
// because nothing after it can be parsed reliably.
func parse(data []byte) (ast.Node, *Problem) {
	start := Position{1, 1}
	if len(data) > MaxSize {
		return nil, &Problem{Position: start, Reason: fmt.Sprintf("the file has %d bytes; the maximum is %d", len(data), MaxSize), Hint: "a shorter file"}
	}
	if pos, deep := tooDeep(data); deep {
		return nil, &Problem{Position: pos, Reason: fmt.Sprintf("brackets are nested more than %d deep", MaxDepth), Hint: "keys and values without such nesting"}
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxProblem(err)
	}
	var root ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if root != nil {
			return nil, &Problem{Position: positionOf(doc.Body), Reason: "the file has a second document", Hint: "one document without ---"}
		}
		root = doc.Body
	}
	if root == nil {
		return nil, &Problem{Position: start, Reason: "the file is empty", Hint: "answers; `lacewingturn init --sample skoflikk` gives an example"}
	}
	return root, nil
}

// tooDeep returns the position of the first bracket nested deeper than MaxDepth.
// Brackets in strings and comments count too, which only makes the bound stricter.
func tooDeep(data []byte) (Position, bool) {
	depth, pos := 0, Position{1, 0}
	for _, c := range data {
		pos.Column++
		switch c {
		case '\n':
			pos = Position{pos.Line + 1, 0}
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(depth-1, 0)
		}
		if depth > MaxDepth {
			return pos, true
		}
	}
	return Position{}, false
}

func syntaxProblem(err error) *Problem {
	p := &Problem{Position: Position{1, 1}, Reason: "not YAML: " + err.Error(), Hint: "key: value lines, indented with spaces"}
	if e, ok := err.(yaml.Error); ok {
		p.Reason = "not YAML: " + e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			p.Position = Position{t.Position.Line, t.Position.Column}
		}
	}
	return p
}

func positionOf(n ast.Node) Position {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return Position{t.Position.Line, t.Position.Column}
	}
	return Position{1, 1}
}

// decoder decodes the nodes of a document into Answers and collects all problems
// instead of stopping at the first.
type decoder struct {
	positions map[string]Position
	faulty    faultyPaths
	problems  []Problem
}

// reject reports a value that cannot be used and marks its path as faulty.
func (d *decoder) reject(pos Position, path, write, format string, args ...any) {
	d.faulty.mark(path)
	d.add(pos, path, write, format, args...)
}

func (d *decoder) add(pos Position, path, write, format string, args ...any) {
	d.problems = append(d.problems, Problem{Position: pos, Path: path, Reason: fmt.Sprintf(format, args...), Hint: write})
}

// value decodes n into v; write is the hint for an invalid value.
func (d *decoder) value(path string, n ast.Node, v reflect.Value, write string) {
	if path != "" {
		if _, ok := d.positions[path]; !ok {
			d.positions[path] = positionOf(n)
		}
	}
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.reject(positionOf(n), path, "the value itself", "anchors, aliases and tags are not used in answers")
		return
	}
	switch {
	case isScalar(v):
		d.scalar(path, n, v, write)
	case v.Kind() == reflect.Struct:
		d.mapping(path, n, v, write)
	case v.Kind() == reflect.Slice:
		d.list(path, n, v, write)
	}
}

func (d *decoder) list(path string, n ast.Node, v reflect.Value, write string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.reject(positionOf(n), path, write, "%s is not a list", describe(n))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, item := range seq.Values {
		d.value(element(path, i), item, v.Index(i), write)
	}
}

func (d *decoder) mapping(path string, n ast.Node, v reflect.Value, write string) {
	var pairs []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		pairs = m.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{m}
	default:
		d.reject(positionOf(n), path, write, "%s is not a group of keys", describe(n))
		return
	}
	if len(pairs) > 0 && strings.HasSuffix(path, "]") {
		d.positions[path] = positionOf(pairs[0].Key)
	}
	fields := fieldsOf(v.Type())
	seen := map[string]bool{}
	for _, pair := range pairs {
		d.pair(path, pair, v, fields, seen)
	}
	for _, f := range fields {
		if f.need && !seen[f.key] {
			d.faulty.mark(join(path, f.key))
			d.add(lookup(d.positions, path), path, f.key+": "+f.write, "%s is missing", f.key)
		}
	}
}

func (d *decoder) pair(path string, pair *ast.MappingValueNode, v reflect.Value, fields []field, seen map[string]bool) {
	key := pair.Key.String()
	if s, ok := pair.Key.(*ast.StringNode); ok {
		key = s.Value
	}
	pos := positionOf(pair.Key)
	f, known := fieldByKey(fields, key)
	switch {
	case !known:
		d.add(pos, join(path, key), "one of "+keysOf(fields), "unknown key %q", key)
	case seen[key]:
		d.reject(pos, join(path, key), "the key once", "key %q is given twice", key)
	default:
		seen[key] = true
		d.positions[join(path, key)] = pos
		d.value(join(path, key), pair.Value, v.Field(f.index), f.write)
	}
}

// field describes a key of a mapping and the struct field that it is decoded into.
type field struct {
	key, write string
	need       bool
	index      int
}

func fieldsOf(t reflect.Type) []field {
	var out []field
	for i := range t.NumField() {
		f := t.Field(i)
		if key := f.Tag.Get("answer"); key != "" {
			out = append(out, field{key: key, write: f.Tag.Get("write"), need: f.Tag.Get("need") != "", index: i})
		}
	}
	return out
}

func fieldByKey(fields []field, key string) (field, bool) {
	for _, f := range fields {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}

func keysOf(fields []field) string {
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.key
	}
	return strings.Join(keys, ", ")
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
