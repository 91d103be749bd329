#ifndef PACKAGES_QUEUE_JOB_MEMORY_H_
#define PACKAGES_QUEUE_JOB_MEMORY_H_

#include <cstdint>

#include "packages/queue/job_specification.h"

namespace bramleyrail {

// Upper estimates of the memory that a job takes in an instance that follows
// the queues, as their leader too, with the copies that a snapshot makes. They
// depend on nothing but the job, so that all instances count the same.

// The records of the tasks of one occurrence while they wait, run or are done.
int64_t BytesOfOccurrence(const JobSpecification& job);
// For how many occurrences a job is charged from its acceptance to its end. The
// records of an occurrence are deleted when it finishes, so one suffices to run
// all of them in turn. Those with long-running tasks never finish.
int64_t ReservedOccurrences(const JobSpecification& job);
// A job that is open: its specification and the occurrences that it reserves.
int64_t BytesOfOpenJob(const JobSpecification& job);
// A job that has ended and can still be read.
int64_t BytesOfEndedJob(const JobSpecification& job);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_JOB_MEMORY_H_
