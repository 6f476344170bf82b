// Machine types that the cloud offers, and its instances of them.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace thistlefront {

/// A type of machine that the cloud rents out. Prices are in the cloud's unit.
struct MachineType {
  std::string name;
  Resources capacity;
  double image_cache_gb = 0, image_fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;  ///< in which it is offered
};

/// A machine that the cloud lists as rented.
struct Instance {
  std::string name, address, machine_type, zone;
  bool spot = false;
  enum class Status : std::uint8_t { booting, running, failed } status = Status::booting;
  double age_s = 0;  ///< since it was rented
};

}  // namespace thistlefront
