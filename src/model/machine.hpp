// Machine types and instances of the cloud.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace thistlefront {

/// A machine type that the cloud offers. Prices are in the cloud's unit.
struct MachineType {
  std::string name;
  Resources capacity;
  double image_cache_gb = 0, image_fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;  ///< where it is offered
};

/// An instance as listed by the cloud.
struct Instance {
  std::string name, address, machine_type, zone;
  bool spot = false;
  enum class Status : std::uint8_t { booting, running, failed } status = Status::booting;
  double age_s = 0;  ///< time since it was requested
};

}  // namespace thistlefront
