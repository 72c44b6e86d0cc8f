package provider

// A store that is restored from an older copy gives version numbers out again. Each restore begins
// an era, so that a number alone does not identify a state. All versions in this project hold both:
// the era in the upper bits and the number in the lower ones. Compared as integers, every version
// of an era is newer than those of the eras before it.

const (
	numberBits = 40
	// MaxEra and MaxNumber are the largest parts of a version. 400 transactions a second reach
	// MaxNumber after 87 years.
	MaxEra    = 1<<(64-numberBits) - 1
	MaxNumber = 1<<numberBits - 1
)

// NewVersion returns the version with a number in an era. The number must not exceed MaxNumber,
// the era not MaxEra. Number 0 stands for an absent row in every era, so it has version 0.
func NewVersion(era, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return era<<numberBits | number
}

// Era returns the era of a version. That of version 0 is not known, and Era returns 0.
func Era(version uint64) uint64 {
	return version >> numberBits
}

// Number returns the number of a version within its era.
func Number(version uint64) uint64 {
	return version & MaxNumber
}
