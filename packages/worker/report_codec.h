#ifndef PACKAGES_WORKER_REPORT_CODEC_H_
#define PACKAGES_WORKER_REPORT_CODEC_H_

#include <cstddef>
#include <span>
#include <vector>

#include "packages/placement/placement.h"

namespace bramleyrail {

// FlatBuffers of worker.fbs, as sent to the leader on the channel `platform`.
std::vector<std::byte> EncodeWorkerReports(
    std::span<const WorkerReport> reports);

// kDataLoss when the bytes are not a valid batch.
Result<std::vector<WorkerReport>> DecodeWorkerReports(
    std::span<const std::byte> data);

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_REPORT_CODEC_H_
