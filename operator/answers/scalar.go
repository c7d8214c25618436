package answers

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// MaxDuration is the longest duration that an answer may give.
const MaxDuration = 366 * 24 * time.Hour

// MaxNumber is the largest number that an answer may give. The product of two
// answers, such as a count and a size, then fits in 64 bits.
const MaxNumber = 100_000_000

var (
	durationType = reflect.TypeFor[Duration]()
	quantityType = reflect.TypeFor[Quantity]()
)

func isScalar(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.String, reflect.Int, reflect.Bool:
		return true
	}
	return v.Type() == durationType || v.Type() == quantityType
}

// scalar decodes a single value and reports it if it has the wrong type or is out
// of range.
func (d *decoder) scalar(path string, n ast.Node, v reflect.Value, write string) {
	problem := ""
	switch {
	case v.Type() == durationType:
		problem = setDuration(n, v)
	case v.Type() == quantityType:
		problem = setQuantity(n, v)
	case v.Kind() == reflect.String:
		problem = setString(n, v)
	case v.Kind() == reflect.Int:
		problem = setInt(n, v)
	case v.Kind() == reflect.Bool:
		problem = setBool(n, v)
	}
	if problem != "" {
		d.reject(positionOf(n), path, write, "%s", problem)
	}
}

func setString(n ast.Node, v reflect.Value) string {
	s, ok := n.(*ast.StringNode)
	if !ok {
		switch n.(type) {
		case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
			return describe(n) + " is not text; put it in quotes if it is meant as text"
		}
		return describe(n) + " is not text"
	}
	v.SetString(s.Value)
	return ""
}

func setInt(n ast.Node, v reflect.Value) string {
	i, ok := integer(n)
	if !ok {
		return describe(n) + " is not a whole number"
	}
	if i < 0 || i > MaxNumber {
		return fmt.Sprintf("%d is not between 0 and %d", i, MaxNumber)
	}
	v.SetInt(i)
	return ""
}

func integer(n ast.Node) (int64, bool) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch x := i.Value.(type) {
	case int64:
		return x, true
	case uint64:
		if x <= math.MaxInt64 {
			return int64(x), true
		}
	}
	return math.MaxInt64, true
}

func setBool(n ast.Node, v reflect.Value) string {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		return describe(n) + " is neither true nor false"
	}
	v.SetBool(b.Value)
	return ""
}

func setDuration(n ast.Node, v reflect.Value) string {
	s, ok := n.(*ast.StringNode)
	if !ok {
		return describe(n) + " is not a duration"
	}
	d, err := parseDuration(s.Value)
	if err != nil {
		return describe(n) + " is not a duration"
	}
	if d <= 0 || d > MaxDuration {
		return fmt.Sprintf("%s is not between 1ms and 366d", s.Value)
	}
	v.SetInt(int64(d))
	return ""
}

// parseDuration accepts the format of time.ParseDuration, truncated to whole
// milliseconds, and whole days such as 14d.
func parseDuration(s string) (time.Duration, error) {
	if days, ok := strings.CutSuffix(s, "d"); ok {
		n, err := strconv.ParseUint(days, 10, 16)
		return time.Duration(n) * 24 * time.Hour, err
	}
	d, err := time.ParseDuration(s)
	return d.Truncate(time.Millisecond), err
}

func setQuantity(n ast.Node, v reflect.Value) string {
	if i, ok := integer(n); ok {
		if i < 0 || i > MaxNumber {
			return fmt.Sprintf("%d is not between 0 and %d", i, MaxNumber)
		}
		v.Set(reflect.ValueOf(Quantity{Number: int(i)}))
		return ""
	}
	s, ok := n.(*ast.StringNode)
	if !ok {
		return describe(n) + " is neither a whole number nor a share"
	}
	percent, isShare := strings.CutSuffix(s.Value, "%")
	f, err := strconv.ParseFloat(percent, 64)
	if !isShare || err != nil || math.IsNaN(f) {
		return describe(n) + " is neither a whole number nor a share"
	}
	if f < 0 || f > 100 {
		return s.Value + " is not between 0% and 100%"
	}
	v.Set(reflect.ValueOf(Quantity{Share: f / 100, IsShare: true}))
	return ""
}

// maxShown is the length in bytes above which a value is shortened in a message.
const maxShown = 40

// describe formats a node for a message.
func describe(n ast.Node) string {
	switch n := n.(type) {
	case *ast.NullNode:
		return "an empty value"
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a group of keys"
	case *ast.StringNode:
		return strconv.Quote(shorten(n.Value))
	}
	return shorten(strings.TrimSpace(n.String()))
}

func shorten(s string) string {
	if len(s) > maxShown {
		return s[:maxShown] + "..."
	}
	return s
}
