// Package rolloutcompare compares the decisions of package rollout with those of
// package naiverollout. It runs moves with fixed seeds in virtual time: the real
// controllers, collectors, aggregators and traffic splits on an in-memory table,
// with a model of the requests at the entries. At random, stores fail, answers are
// lost, lease holders are killed and data centres are cut off. It does not simulate
// a whole cluster: targets have no queues, and every message takes one time step.
package rolloutcompare
