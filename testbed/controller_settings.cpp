#include "testbed/controller_settings.hpp"

#include <sstream>

namespace thistlefront::testbed {

namespace {
constexpr int kDigits = 15;  // enough to write all integers that occur without an exponent

const std::string& zone_of(const ControllerSettings& settings, std::size_t controller) {
  return settings.zones.at(controller % settings.zones.size());
}

void write_addresses(std::ostream& out, const ControllerSettings& settings) {
  out << "label = \"" << controller_label(settings.controller) << "\"\nsite = \"" << zone_of(settings, settings.controller)
      << "\"\nclient_listen = \"" << settings.client_address << "\"\npeer_listen = \"" << settings.peer_address << "\"\n";
  for (const auto& peer : settings.peers)
    out << "[[peers]]\nlabel = \"" << controller_label(peer.controller) << "\"\nsite = \"" << zone_of(settings, peer.controller)
        << "\"\naddr = \"" << peer.address << "\"\n";
  out << "[endpoints]\ncloud = \"" << settings.cloud_address << "\"\nstate = \"" << settings.store_address << "\"\n";
}

void write_deployment(std::ostream& out, const ControllerSettings& settings) {
  out << "[deployment]\ncount = " << settings.controllers << "\nzones = [";
  const char* separator = "";
  for (const auto& zone : settings.zones) {
    out << separator << '"' << zone << '"';
    separator = ", ";
  }
  out << "]\nskew_ms = 5\n";
  for (const auto& team : settings.teams)
    out << "[[deployment.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.cpus << "\ncpus_max = " << team.cpus_max << "\n";
  out << "[deployment.workers]\nreport_s = " << settings.heartbeat_interval_s << "\nlease_s = " << settings.lease_s
      << "\ngang_wait_s = " << settings.gang_wait_s << "\ngang_peer_s = " << settings.gang_peer_s << "\ncancel_s = " << settings.cancel_s
      << "\n";
}

void write_store_limits(std::ostream& out, const StoreLimits& limits) {
  out << "value_kb = " << limits.value_kb << "\ntxn_ops = " << limits.txn_ops << "\n";
}

void write_service_limits(std::ostream& out, const ControllerSettings& settings) {
  out << "[deployment.state]\nrps = " << settings.store_rps << "\nwrite_rps = " << settings.store_write_rps << "\n";
  write_store_limits(out, settings.store_limits);
  if (settings.next_store_limits) {
    out << "[deployment.state.next]\n";
    write_store_limits(out, *settings.next_store_limits);
  }
  out << "[deployment.cloud]\nrps = " << settings.cloud_rps << "\nlist_lag_s = " << settings.list_lag_s
      << "\n[deployment.limits]\ncpu = 1\nmemory_mb = " << settings.max_memory_mb << "\nmax_sockets = " << settings.max_sockets << "\n";
}
}  // namespace

std::string controller_label(std::size_t controller) {
  return "host-" + std::to_string(controller);
}

std::size_t find_controller(const std::string& label, std::size_t controllers) {
  for (std::size_t i = 0; i < controllers; ++i)
    if (label == controller_label(i)) return i;
  return controllers;
}

std::string to_toml(const ControllerSettings& settings) {
  std::ostringstream out;
  out.precision(kDigits);
  write_addresses(out, settings);
  write_deployment(out, settings);
  write_service_limits(out, settings);
  return out.str();
}

}  // namespace thistlefront::testbed
