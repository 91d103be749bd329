#include "packages/http/connection_memory.h"

#include <utility>

namespace bramleyrail {

namespace {

// Connections that keep more than this leave a part of the memory to the
// others, so that a few large messages do not crowd out ordinary requests.
constexpr size_t kOrdinaryBytes = size_t{64} * 1024;
constexpr size_t kLargeShareDivisor = 4;

size_t LimitFor(size_t limit, size_t bytes) {
  return bytes <= kOrdinaryBytes ? limit : limit - limit / kLargeShareDivisor;
}

}  // namespace

ConnectionMemory::Account::Account(std::shared_ptr<ConnectionMemory> memory,
                                   std::function<void()> close)
    : memory_(std::move(memory)), close_(std::move(close)) {}

ConnectionMemory::Account::~Account() {
  StopAwaiting();
  memory_->used_ -= bytes_;
}

bool ConnectionMemory::Account::Resize(size_t bytes) {
  if (bytes > bytes_ && !memory_->MakeRoom(this, bytes)) {
    return false;
  }
  memory_->used_ = memory_->used_ - bytes_ + bytes;
  bytes_ = bytes;
  return true;
}

void ConnectionMemory::Account::AwaitClient() {
  StopAwaiting();
  awaiting_ = memory_->awaiting_.insert(memory_->awaiting_.end(), this);
}

void ConnectionMemory::Account::StopAwaiting() {
  if (awaiting_) {
    memory_->awaiting_.erase(*awaiting_);
    awaiting_.reset();
  }
}

bool ConnectionMemory::MakeRoom(Account* account, size_t bytes) {
  const size_t limit = LimitFor(limit_, bytes);
  size_t kept = used_ - account->bytes_;
  if (bytes <= limit && kept <= limit - bytes) {
    return true;
  }
  for (const Account* other : awaiting_) {
    kept -= other == account ? 0 : other->bytes_;
  }
  if (bytes > limit || kept > limit - bytes) {
    return false;
  }
  auto next = awaiting_.begin();
  while (used_ - account->bytes_ > limit - bytes) {
    Account* const closed = *next++;
    if (closed == account) {
      continue;
    }
    closed->StopAwaiting();
    closed->close_();
    // Its buffers are released as soon as its operation ends, which the loop
    // runs before it reads further.
    used_ -= std::exchange(closed->bytes_, 0);
  }
  return true;
}

void ConnectionMemory::AppendSamples(std::vector<MetricSample>* samples) const {
  samples->push_back(
      {"http_connection_memory_bytes", {}, static_cast<double>(used_)});
  samples->push_back(
      {"http_connection_memory_limit_bytes", {}, static_cast<double>(limit_)});
  report_.AppendSamples(samples);
}

}  // namespace bramleyrail
