// Package rolloutcompare measures the decisions of package rollout beside those
// of package naiverollout. It runs moves with fixed seeds in virtual time: the
// real controllers, collectors, aggregators and shares on a table in memory, with
// a model of the requests at the entries. Stores fail, answers are lost, holders
// are killed and data centres are cut off at random. It is no simulator of a
// cluster: targets have no queues, and messages take one step of time.
package rolloutcompare
