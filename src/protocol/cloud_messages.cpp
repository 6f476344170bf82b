#include "protocol/cloud_messages.hpp"

#include <nlohmann/json.hpp>

#include "protocol/enum_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/machine_type_json.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

constexpr EnumName<Instance::Status> kInstanceStatusNames[] = {
    {"booting", Instance::Status::booting}, {"running", Instance::Status::running}, {"failed", Instance::Status::failed}};

// Empty if the instance has no address yet. Only a running instance must have the field.
std::string read_address(const json& object, Instance::Status status) {
  const json* address = find_member(object, "address");
  if (!address && status != Instance::Status::running) return {};
  if (!address) fail_field("address", "missing");
  if (!address->is_string()) fail_field("address", "not a string");
  return address->get<std::string>();
}

Instance parse_instance(const json& object) {
  if (!object.is_object()) fail_field("hosts", "not objects");
  Instance instance;
  instance.name = read_text(object, "uid");
  instance.machine_type = read_text(object, "hostKind");
  instance.zone = read_text(object, "yard");
  instance.spot = read_flag(object, "loaners");
  instance.status = as_enum(require_member(object, "status"), "status", kInstanceStatusNames);
  instance.age_s = read_amount(object, "heldS");
  instance.address = read_address(object, instance.status);
  return instance;
}

}  // namespace

std::string instances_path(const std::string& first_name, unsigned page_size) {
  std::string path = std::string(kRentPath) + "?page=" + std::to_string(page_size);
  if (!first_name.empty()) path += "&from=" + first_name;
  return path;
}

std::vector<MachineType> parse_machine_types(std::string_view body) {
  const json object = parse_object(body);
  std::vector<MachineType> machine_types;
  for (const auto& machine_type : read_list(object, "hostKinds")) machine_types.push_back(parse_offered_machine_type(machine_type));
  return machine_types;
}

InstancePage parse_instances(std::string_view body) {
  const json object = parse_object(body);
  InstancePage page;
  for (const auto& instance : read_list(object, "hosts")) page.instances.push_back(parse_instance(instance));
  page.truncated = read_flag(object, "truncated");
  return page;
}

std::string rent_body(const std::string& rental_id, const std::string& machine_type, const std::string& zone, bool spot, unsigned count) {
  return json{{"rental", rental_id}, {"hostKind", machine_type}, {"yard", zone}, {"loaners", spot}, {"count", count}}.dump();
}

std::vector<std::string> parse_rented_names(std::string_view body) {
  const json object = parse_object(body);
  std::vector<std::string> names;
  for (const auto& name : read_list(object, "hosts")) names.push_back(as_text(name, "hosts"));
  return names;
}

bool reports_no_capacity(std::string_view body) {
  return body.find("no capacity") != std::string_view::npos;
}

std::string release_body(const std::vector<std::string>& names) {
  return json{{"hosts", names}}.dump();
}

}  // namespace thistlefront
