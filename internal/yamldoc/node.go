package yamldoc

import (
	"github.com/goccy/go-yaml/ast"
)

// positionOf returns the position of a node, or the zero Position if it is unknown.
func positionOf(node ast.Node) Position {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		// The token of a block mapping is its first colon; readers expect the position
		// of its first key.
		return positionOf(mapping.Values[0].Key)
	}
	if pair, ok := node.(*ast.MappingValueNode); ok {
		return positionOf(pair.Key)
	}
	t := node.GetToken()
	if t == nil || t.Position == nil {
		return Position{}
	}
	return Position{Line: t.Position.Line, Column: t.Position.Column}
}

func isEmpty(node ast.Node) bool {
	switch node.(type) {
	case *ast.NullNode, *ast.CommentNode, *ast.CommentGroupNode:
		return true
	}
	return false
}

// pairsOf returns the pairs of a mapping, and false for any other node.
func pairsOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	}
	return nil, false
}

// textOf returns the text of a string node, and false for any other node.
func textOf(node ast.Node) (string, bool) {
	switch text := node.(type) {
	case *ast.StringNode:
		return text.Value, true
	case *ast.LiteralNode:
		return text.Value.Value, true
	}
	return "", false
}

// unsupportedReason says why a node is not supported, or returns "".
func unsupportedReason(node ast.Node) string {
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode:
		return "anchors and aliases are not supported"
	case *ast.TagNode:
		return "tags are not supported"
	}
	return ""
}

// describeKind names the kind of a node for messages.
func describeKind(node ast.Node) string {
	switch node.(type) {
	case *ast.NullNode:
		return "nothing"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode:
		return "a whole number"
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	}
	return "a value of another kind"
}
