// Requests to the cloud's API and its replies: machine types, the list of instances, requesting and releasing instances. Called by
// the cloud manager, the scale-out manager and the instance releaser.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "model/machine.hpp"
#include "protocol/protocol_error.hpp"

namespace thistlefront {

inline constexpr const char* kMachineTypesPath = "/flavors";     ///< GET: list machine types
inline constexpr const char* kRentPath = "/rentals";             ///< GET: list instances; POST: request instances
inline constexpr const char* kReleasePath = "/rentals/release";  ///< POST: release instances
/// Path of a page of the list of instances: at most `page_size` instances from `first_name` on. Empty `first_name`: the first page.
std::string instances_path(const std::string& first_name, unsigned page_size);

/// Parses the list of machine types; throws ProtocolError.
std::vector<MachineType> parse_machine_types(std::string_view body);

/// A page of the list of instances.
struct InstancePage {
  std::vector<Instance> instances;
  bool truncated = false;  ///< there are further pages
};
/// Parses a page; throws ProtocolError.
InstancePage parse_instances(std::string_view body);

/// Requests `count` instances of a machine type. `rental_id` makes the request idempotent: repeating it adds no instances.
std::string rent_body(const std::string& rental_id, const std::string& machine_type, const std::string& zone, bool spot, unsigned count);
/// Parses the names of the instances that the request added; throws ProtocolError.
std::vector<std::string> parse_rented_names(std::string_view body);
/// Whether an error reply means that no such instances are available, rather than a failure of the cloud.
bool reports_no_capacity(std::string_view body);
/// Releases the instances with these names.
std::string release_body(const std::vector<std::string>& names);

}  // namespace thistlefront
