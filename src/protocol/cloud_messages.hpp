// What is asked of the cloud's API and answered by it: machine types, instances, renting and releasing them. Called by the
// scale-out duty.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "model/machine.hpp"
#include "protocol/protocol_error.hpp"

namespace thistlefront {

inline constexpr const char* kMachineTypesPath = "/flavors";     ///< GET: the machine types
inline constexpr const char* kRentPath = "/rentals";             ///< GET: the instances; POST: rent more
inline constexpr const char* kReleasePath = "/rentals/release";  ///< POST: release instances
/// Path of one page of the list of instances: at most `page` of them, from the name `from` on; from the first if it is empty.
std::string instances_path(const std::string& from, unsigned page);

/// Reads the list of machine types; throws ProtocolError.
std::vector<MachineType> parse_machine_types(std::string_view body);

/// One page of the list of instances.
struct InstancePage {
  std::vector<Instance> instances;
  bool truncated = false;  ///< there are further pages
};
/// Reads one; throws ProtocolError.
InstancePage parse_instances(std::string_view body);

/// Asks for `count` instances of a machine type. `rental` names the request, so that repeating it rents nothing twice.
std::string rent_body(const std::string& rental, const std::string& machine_type, const std::string& zone, bool spot, unsigned count);
/// Names of the instances rented; throws ProtocolError.
std::vector<std::string> parse_rented(std::string_view body);
/// Whether a refusal says that no such machines are available, as opposed to a fault of the cloud.
bool is_no_capacity(std::string_view body);
/// Releases the instances of those names.
std::string release_body(const std::vector<std::string>& names);

}  // namespace thistlefront
