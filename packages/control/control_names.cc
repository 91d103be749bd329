#include "packages/control/control_names.h"

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr std::string_view kControlPrefix = "control-";
constexpr std::string_view kGatewayPrefix = "gateway-";

std::string Join(std::string_view prefix, std::string_view ip) {
  return std::string(prefix) + std::string(ip);
}

}  // namespace

std::string ControlInstanceName(std::string_view ip) {
  return Join(kControlPrefix, ip);
}

std::string GatewayInstanceName(std::string_view ip) {
  return Join(kGatewayPrefix, ip);
}

std::optional<std::string> ControlInstanceIp(std::string_view name) {
  if (!name.starts_with(kControlPrefix)) {
    return std::nullopt;
  }
  return std::string(name.substr(kControlPrefix.size()));
}

bool IsGatewayInstanceName(std::string_view name) {
  return name.starts_with(kGatewayPrefix);
}

}  // namespace bramleyrail
