#ifndef PACKAGES_CONTROL_CONTROL_NAMES_H_
#define PACKAGES_CONTROL_CONTROL_NAMES_H_

#include <optional>
#include <string>
#include <string_view>

namespace bramleyrail {

// Names of instances whose address follows from the name, so that an instance
// finds another one without a directory: all use the same port for peers.
std::string ControlInstanceName(std::string_view ip);
std::string GatewayInstanceName(std::string_view ip);
// The IP address in the name of a control instance, or nullopt.
std::optional<std::string> ControlInstanceIp(std::string_view name);
bool IsGatewayInstanceName(std::string_view name);

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_CONTROL_NAMES_H_
