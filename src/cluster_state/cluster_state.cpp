// Lookups in the cluster state, and its nodes.
#include "cluster_state/cluster_state.hpp"

#include <algorithm>

namespace thistlefront {

ClusterState::ClusterState(const std::vector<Team>& teams, std::size_t record_bytes)
    : record_bytes_(record_bytes), quota_accounts_(teams) {}

JobIndex ClusterState::find(std::string_view uid) const {
  const auto it = jobs_by_uid_.find(uid);
  return it == jobs_by_uid_.end() ? JobIndex{} : it->second;
}

Placement* ClusterState::placement(TaskRef ref) {
  if (!ref.job.valid()) return nullptr;
  auto& placed = jobs_[ref.job.value].placed;
  const auto it = placed.find(ref.task);
  return it == placed.end() ? nullptr : &it->second;
}

bool ClusterState::allows(const Job& job, const Node& node) const {
  if (!node.machine_type.valid()) return false;
  if (node.spot && !job.spec.allows_spot) return false;
  if (job.zone.valid() && node.zone != job.zone) return false;
  const auto& allowed = job.machine_types;
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), node.machine_type) != allowed.end();
}

double ClusterState::next_acceptance_time(double wall_s, double skew_s) const {
  constexpr double kSpacingS = 1e-6;
  constexpr double kSlackS = 1;
  const double after_latest = latest_accepted_at_ + kSpacingS;
  return after_latest > wall_s && after_latest < wall_s + 2 * skew_s + kSlackS ? after_latest : wall_s;
}

std::optional<std::string> ClusterState::rejection_reason(const JobSpec& spec) const {
  return thistlefront::rejection_reason(spec, machine_types_, quota_accounts_);
}

std::optional<std::string> ClusterState::dependency_rejection_reason(const JobSpec& spec) const {
  return thistlefront::dependency_rejection_reason(spec, *this);
}

std::optional<std::string> ClusterState::describe_blocked_jobs() const {
  const std::size_t blocked = dependency_graph_.counts().blocked;
  if (blocked > 0) return std::to_string(blocked) + " jobs that wait for others";
  return std::nullopt;
}

NodeIndex ClusterState::find_node(const std::string& name) const {
  const auto it = nodes_by_name_.find(name);
  return it == nodes_by_name_.end() ? NodeIndex{} : it->second;
}

NodeIndex ClusterState::find_or_add_node(const std::string& name) {
  const auto [it, inserted] = nodes_by_name_.try_emplace(name, NodeIndex{static_cast<std::uint32_t>(nodes_.size())});
  if (inserted) nodes_.emplace_back().name = name;
  return it->second;
}

void ClusterState::set_node_attributes(NodeIndex node_index, const std::string& address, const std::string& machine_type,
                                       const std::string& zone, bool spot) {
  Node& node = nodes_[node_index.value];
  if (!address.empty()) node.address = address;
  node.machine_type = machine_types_.intern(machine_type);
  node.zone = zones_.intern(zone);
  node.spot = spot;
}

void ClusterState::record_image_use(Node& node, ImageIndex image, double image_gb) {
  auto& cached = node.cached_images;
  const auto it = std::find_if(cached.begin(), cached.end(), [&](const auto& entry) { return entry.first == image; });
  if (it != cached.end()) cached.erase(it);
  cached.emplace_back(image, image_gb);
  const MachineType* type = machine_type(node.machine_type);
  if (!type) return;
  double total_gb = 0;
  for (const auto& [cached_image, size_gb] : cached) total_gb += size_gb;
  while (cached.size() > 1 && total_gb > type->image_cache_gb) {
    total_gb -= cached.front().second;
    cached.erase(cached.begin());
  }
}

}  // namespace thistlefront
