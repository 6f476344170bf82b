#include "protocol/machine_type_json.hpp"

#include <nlohmann/json.hpp>

#include "protocol/json_fields.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {
constexpr double kDefaultBootSeconds = 60;
}  // namespace

json machine_type_json(const MachineType& machine_type) {
  return {{"sku", machine_type.name},
          {"cores", machine_type.capacity.cores},
          {"accelerators", machine_type.capacity.accelerators},
          {"ramGb", machine_type.capacity.ram_gb},
          {"cacheGb", machine_type.image_cache_gb},
          {"fetchGbPerS", machine_type.image_fetch_gb_per_s},
          {"price", machine_type.price},
          {"marketPrice", machine_type.spot_price},
          {"bootS", machine_type.boot_s},
          {"yards", machine_type.zones}};
}

MachineType parse_machine_type(const json& object) {
  if (!object.is_object()) fail_field("hostKinds", "not objects");
  MachineType machine_type;
  machine_type.name = read_text(object, "sku");
  machine_type.capacity = {read_amount(object, "cores"), read_amount_or(object, "accelerators", 0), read_amount(object, "ramGb")};
  machine_type.image_cache_gb = read_amount_or(object, "cacheGb", 0);
  machine_type.image_fetch_gb_per_s = read_amount_or(object, "fetchGbPerS", 0);
  machine_type.price = read_amount_or(object, "price", 0);
  machine_type.spot_price = read_amount_or(object, "marketPrice", machine_type.price);
  machine_type.boot_s = read_amount_or(object, "bootS", kDefaultBootSeconds);
  if (const json* zones = find_member(object, "yards")) {
    if (!zones->is_array()) fail_field("yards", "not a list");
    for (const auto& zone : *zones) machine_type.zones.push_back(as_text(zone, "yards"));
  }
  return machine_type;
}

}  // namespace thistlefront
