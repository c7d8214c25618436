// Package operator is what operators hold in their hands: the questionnaire,
// and the command and query halves of the operator interface.
package operator
