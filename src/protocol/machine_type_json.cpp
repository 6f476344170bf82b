#include "protocol/machine_type_json.hpp"

#include <nlohmann/json.hpp>

#include "protocol/json_fields.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {
constexpr double kDefaultBootSeconds = 60;

// Reads the fields that both forms always contain.
MachineType parse_fields_of_both_forms(const json& object) {
  if (!object.is_object()) fail_field("hostKinds", "not objects");
  MachineType machine_type;
  machine_type.name = read_text(object, "sku");
  machine_type.capacity.cores = read_amount(object, "cores");
  machine_type.capacity.ram_gb = read_amount(object, "ramGb");
  return machine_type;
}

std::vector<std::string> read_zones(const json& object) {
  std::vector<std::string> zones;
  for (const auto& zone : read_list(object, "yards")) zones.push_back(as_text(zone, "yards"));
  return zones;
}
}  // namespace

json stored_machine_type_json(const MachineType& machine_type) {
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

MachineType parse_stored_machine_type(const json& object) {
  MachineType machine_type = parse_fields_of_both_forms(object);
  machine_type.capacity.accelerators = read_amount_or(object, "accelerators", 0);
  machine_type.image_cache_gb = read_amount_or(object, "cacheGb", 0);
  machine_type.image_fetch_gb_per_s = read_amount_or(object, "fetchGbPerS", 0);
  machine_type.price = read_amount_or(object, "price", 0);
  machine_type.spot_price = read_amount_or(object, "marketPrice", machine_type.price);
  machine_type.boot_s = read_amount_or(object, "bootS", kDefaultBootSeconds);
  if (find_member(object, "yards")) machine_type.zones = read_zones(object);
  return machine_type;
}

MachineType parse_offered_machine_type(const json& object) {
  MachineType machine_type = parse_fields_of_both_forms(object);
  machine_type.capacity.accelerators = read_amount(object, "accelerators");
  machine_type.image_cache_gb = read_amount(object, "cacheGb");
  machine_type.image_fetch_gb_per_s = read_amount(object, "fetchGbPerS");
  machine_type.price = read_amount(object, "price");
  machine_type.spot_price = read_amount(object, "marketPrice");
  machine_type.boot_s = read_amount(object, "bootS");
  machine_type.zones = read_zones(object);
  return machine_type;
}

}  // namespace thistlefront
