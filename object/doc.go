// Package object defines the objects that operators publish: services,
// targets, versions, tiers, client accounts and moves. The objects refer to one
// another by name and form one Set, which is checked as a whole before it is
// published, so that no partial picture is ever in force.
//
// The package is pure: it reads no files, opens no connections and holds no
// clock.
package object
