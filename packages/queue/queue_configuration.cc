#include "packages/queue/queue_configuration.h"

#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

const JobQueue* QueueConfiguration::FindQueue(std::string_view host,
                                              std::string_view path) const {
  const JobQueue* best = nullptr;
  for (const JobQueue& queue : queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const JobQueue* QueueConfiguration::FindQueueByName(
    std::string_view name) const {
  for (const JobQueue& queue : queues) {
    if (queue.name == name) {
      return &queue;
    }
  }
  return nullptr;
}

const WorkerPool* QueueConfiguration::FindPool(std::string_view name) const {
  for (const WorkerPool& pool : pools) {
    if (pool.name == name) {
      return &pool;
    }
  }
  return nullptr;
}

const ClientAccount* QueueConfiguration::FindAccount(
    std::string_view name) const {
  for (const ClientAccount& account : accounts) {
    if (account.name == name) {
      return &account;
    }
  }
  return nullptr;
}

Result<void> ValidateQueues(const QueueConfiguration& configuration) {
  std::vector<FieldFault> faults;
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const JobQueue& queue : configuration.queues) {
    const std::string path = absl::StrCat("queue '", queue.name, "'");
    if (configuration.FindPool(queue.pool) == nullptr) {
      faults.push_back(
          {path, absl::StrCat("must name a configured pool, but names '",
                              queue.pool, "'")});
    }
    if (!host_prefixes.emplace(queue.host, queue.path_prefix).second) {
      faults.push_back(
          {path,
           "must not have the same host and path prefix as another queue"});
    }
    if (queue.timeout_ms <= 0) {
      faults.push_back(
          {path, absl::StrCat("must have a timeout above 0 ms, but has ",
                              queue.timeout_ms, " ms")});
    }
  }
  CheckAccounts(configuration.accounts, &faults);
  if (!faults.empty()) {
    return MakeInvalidArgument("the configuration is not valid",
                               std::move(faults));
  }
  return Success();
}

}  // namespace bramleyrail
