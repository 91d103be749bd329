#ifndef PACKAGES_CONTROL_CONTROL_NAMES_H_
#define PACKAGES_CONTROL_CONTROL_NAMES_H_

#include <optional>
#include <string>
#include <string_view>

namespace bramleyrail {

// Names of instances. The address of an instance follows from its name, so
// other instances reach it without a directory: all use the same port for
// peers.
std::string ControlInstanceName(std::string_view ip);
std::string GatewayInstanceName(std::string_view ip);
// Returns the IP address in the name of a control instance, or nullopt for
// other names.
std::optional<std::string> ControlInstanceIp(std::string_view name);
bool IsGatewayInstanceName(std::string_view name);

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_CONTROL_NAMES_H_
