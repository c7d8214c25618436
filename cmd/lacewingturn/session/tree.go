package session

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// node is a JSON value that keeps the order of object keys, so tables show the fields
// of a view in the order in which they are declared.
type node struct {
	scalar any
	list   []node
	keys   []string
	fields map[string]node
	kind   byte // 's' scalar, 'l' list, 'o' object
}

func parseTree(data []byte) (node, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return parseNode(d)
}

func parseNode(d *json.Decoder) (node, error) {
	t, err := d.Token()
	if err != nil {
		return node{}, err
	}
	switch t {
	case json.Delim('['):
		return parseList(d)
	case json.Delim('{'):
		return parseObject(d)
	}
	return node{kind: 's', scalar: t}, nil
}

func parseList(d *json.Decoder) (node, error) {
	n := node{kind: 'l'}
	for d.More() {
		item, err := parseNode(d)
		if err != nil {
			return node{}, err
		}
		n.list = append(n.list, item)
	}
	_, err := d.Token()
	return n, err
}

func parseObject(d *json.Decoder) (node, error) {
	n := node{kind: 'o', fields: map[string]node{}}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return node{}, err
		}
		value, err := parseNode(d)
		if err != nil {
			return node{}, err
		}
		name := fmt.Sprint(key)
		n.keys, n.fields[name] = append(n.keys, name), value
	}
	_, err := d.Token()
	return n, err
}
