#include "packages/bramleyraild/control_members.h"

#include <arpa/inet.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "packages/control/control.h"

namespace bramleyrail {

namespace {

ControlMembers::Names Difference(const ControlMembers::Names& from,
                                 const ControlMembers::Names& without) {
  ControlMembers::Names result;
  std::set_difference(from.begin(), from.end(), without.begin(), without.end(),
                      std::inserter(result, result.end()));
  return result;
}

}  // namespace

ControlMembers::ControlMembers(std::string own_name)
    : own_name_(std::move(own_name)) {}

ControlMembers::Change ControlMembers::SetSeeds(
    std::span<const std::string> names) {
  if (names.empty()) {
    return {};
  }
  seeds_ = {names.begin(), names.end()};
  return Update();
}

ControlMembers::Change ControlMembers::SetListed(
    std::span<const std::string> names) {
  names = names.first(std::min(names.size(), kMaximumListed));
  listed_ = {names.begin(), names.end()};
  named_leader_.clear();
  return Update();
}

ControlMembers::Change ControlMembers::SetNamedLeader(std::string_view name) {
  named_leader_ = {std::string(name)};
  return Update();
}

ControlMembers::Change ControlMembers::Add(std::string_view name) {
  // The replica adds the receiver of each message that it sends.
  if (added_.contains(name)) {
    return {};
  }
  added_.emplace(name);
  return Update();
}

bool ControlMembers::IsValid(std::string_view name) const {
  const auto ip = ControlInstanceIp(name);
  in_addr buffer;
  return ip && name != own_name_ &&
         inet_pton(AF_INET, ip->c_str(), &buffer) == 1;
}

ControlMembers::Change ControlMembers::Update() {
  Names known;
  for (Names* source : {&seeds_, &listed_, &named_leader_, &added_}) {
    std::erase_if(*source, [this](const auto& name) { return !IsValid(name); });
    known.insert(source->begin(), source->end());
  }
  Change change{Difference(known, names_), Difference(names_, known)};
  names_ = std::move(known);
  return change;
}

}  // namespace bramleyrail
