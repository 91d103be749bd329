#include "packages/bramleyraild/member_poll.h"

#include <utility>

namespace bramleyrail {

namespace {

// A replacement overlaps with the machine that it replaces for some seconds.
constexpr Milliseconds kInterval{1'000};
constexpr Milliseconds kTimeout{900};

}  // namespace

MemberPoll::MemberPoll(IoLoop* loop, Options options)
    : loop_(loop),
      options_(std::move(options)),
      query_(EncodeRelayed(RelayedRequest{.asks_members = true})),
      alive_(std::make_shared<bool>(true)) {}

MemberPoll::~MemberPoll() {
  *alive_ = false;
}

void MemberPoll::Start() {
  for (const std::string& name : options_.instances()) {
    options_.call(name, query_, kTimeout,
                  [this, alive = alive_,
                   loop = loop_](Result<std::vector<std::byte>> result) {
                    loop->Post([this, alive, result = std::move(result)] {
                      if (*alive) {
                        HandleAnswer(result);
                      }
                    });
                  });
  }
  loop_->RunAfter(kInterval, [this, alive = alive_] {
    if (*alive) {
      Start();
    }
  });
}

void MemberPoll::HandleAnswer(const Result<std::vector<std::byte>>& result) {
  if (!result) {
    return;
  }
  Result<RelayedResponse> response = DecodeRelayedResponse(result.value());
  if (!response) {
    return;
  }
  if (!response.value().not_leader) {
    options_.on_leader_answer(std::move(response.value().members));
  } else if (!response.value().leader.empty()) {
    options_.on_leader_named(response.value().leader);
  }
}

}  // namespace bramleyrail
