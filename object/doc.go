// Package object defines the objects that operators publish: services,
// targets, versions, tiers, client accounts, moves and ingresses. The objects
// refer to one another by name and form one Set, which is checked as a whole
// before it is published, so that no incomplete configuration is ever in force.
//
// The package has no side effects: it reads no files, opens no connections and
// reads no clock.
package object
