#ifndef PACKAGES_BRAMLEYRAILD_CONTROL_MEMBERS_H_
#define PACKAGES_BRAMLEYRAILD_CONTROL_MEMBERS_H_

#include <set>
#include <span>
#include <string>
#include <string_view>

namespace bramleyrail {

// The names of the control instances that an instance knows, by their sources.
// A name is forgotten when no source has it any more; names without a valid
// address and the own name are ignored. Not thread-safe.
class ControlMembers {
 public:
  using Names = std::set<std::string, std::less<>>;

  // A member list from another instance is cut to this many names.
  static constexpr size_t kMaximumListed = 32;

  struct Change {
    Names added;
    Names removed;

    bool empty() const { return added.empty() && removed.empty(); }
  };

  explicit ControlMembers(std::string own_name);

  // Replaces the instances of the settings. An empty list changes nothing.
  Change SetSeeds(std::span<const std::string> names);
  // Replaces the members that the leader listed, and forgets the named leader.
  Change SetListed(std::span<const std::string> names);
  // Replaces the leader that another instance named.
  Change SetNamedLeader(std::string_view name);
  // Adds an instance for good: one that dialled this instance, or a replica.
  Change Add(std::string_view name);

  const Names& names() const { return names_; }

 private:
  bool IsValid(std::string_view name) const;
  Change Update();

  const std::string own_name_;
  Names seeds_;
  Names listed_;
  Names named_leader_;  // At most one.
  Names added_;
  Names names_;  // The union of the others.
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_CONTROL_MEMBERS_H_
