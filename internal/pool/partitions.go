package pool

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// jobPartitions is the number of partitions for a pool's accepted jobs. A partition serializes its
// transactions, so the number of partitions limits the jobs per second that a slow store accepts. A
// takeover reads every partition.
const jobPartitions = 32

// partitionSeparator separates the pool's name from the partition number.
const partitionSeparator = "/"

// jobPartitionChoices is the number of partitions that may hold a job's accepted row. If a
// partition is unavailable, the row is written to the next one. Rows of one job in several
// partitions are identical.
const jobPartitionChoices = 3

// JobPartitions returns the partitions that may hold a job's accepted row, in order of preference.
func JobPartitions(pool, id string) []string {
	first := int(xxhash.Sum64String(id) % jobPartitions)
	parts := make([]string, jobPartitionChoices)
	for i := range parts {
		parts[i] = jobPartition(pool, (first+i)%jobPartitions)
	}
	return parts
}

// PoolOfJobPartition returns the pool that a partition of the job table belongs to. It returns false
// if the name is not that of such a partition.
func PoolOfJobPartition(part string) (string, bool) {
	separator := strings.LastIndex(part, partitionSeparator)
	if separator <= 0 {
		return "", false
	}
	number, err := strconv.Atoi(part[separator+len(partitionSeparator):])
	if err != nil || number < 0 || number >= jobPartitions {
		return "", false
	}
	return part[:separator], true
}

// progressPartitions is the number of progress partitions. If one is unavailable, the owner writes
// to the next.
const progressPartitions = 3

func progressPartition(pool string, number int) string {
	if number == 0 {
		return pool
	}
	return pool + partitionSeparator + "p" + strconv.Itoa(number)
}

func jobPartition(pool string, number int) string {
	return pool + partitionSeparator + strconv.Itoa(number)
}

// AcceptedKey returns the key of an accepted job's row in a partition.
func AcceptedKey(part, id string) rows.Key {
	return rows.Key{Table: JobTable, Part: part, Name: id + acceptedSuffix}
}

// CancelledKey returns the key of a job's cancellation in a partition.
func CancelledKey(part, id string) rows.Key {
	return rows.Key{Table: JobTable, Part: part, Name: id + cancelledSuffix}
}

// ProgressPartitions returns the partitions that may hold the progress of a pool's jobs.
func ProgressPartitions(pool string) []string {
	parts := make([]string, progressPartitions)
	for i := range parts {
		parts[i] = progressPartition(pool, i)
	}
	return parts
}

func progressKey(part, id string) rows.Key {
	return rows.Key{Table: ProgressTable, Part: part, Name: id}
}

// LeaseKey returns the key of a pool's lease row.
func LeaseKey(pool string) rows.Key {
	return rows.Key{Table: NodeTable, Part: pool, Name: LeaseRow}
}

// KnowledgeKey returns the key of the row in which the owner keeps what it has learned for the next
// owner. The row has a partition of its own, so that its writes wait for no others.
func KnowledgeKey(pool string) rows.Key {
	return rows.Key{Table: KnowledgeTable, Part: pool + partitionSeparator + knowledgeRow, Name: knowledgeRow}
}

// DurationsKey returns the key of the row for the duration models that are not in head rows.
func DurationsKey(pool string) rows.Key {
	key := KnowledgeKey(pool)
	key.Name = durationsRow
	return key
}

func headKey(part string) rows.Key {
	return rows.Key{Table: ProgressTable, Part: part, Name: headRow}
}

// KindOf names the kind of a row that owners and nodes write, for reports of their sizes.
func KindOf(key rows.Key) string {
	switch {
	case key.Table == ProgressTable && key.Name == headRow:
		return "head"
	case key.Table == NodeTable && key.Name == LeaseRow && key.Part != "":
		return "lease"
	case key.Table == NodeTable:
		return "member"
	case strings.HasSuffix(key.Name, acceptedSuffix):
		return "accepted"
	case strings.HasSuffix(key.Name, cancelledSuffix):
		return "cancelled"
	case key.Table == KnowledgeTable:
		return key.Name
	}
	return key.Table
}
