// Plans each trace file and compares the plan with the expected one. A trace holds nodes, waiting jobs and the expected plan.
#include "scheduling/planner.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "model/identifiers.hpp"

namespace thistlefront {
namespace {

struct Trace {
  PlanInput input;
  std::vector<std::string> node_names, job_names;
  std::vector<std::string> expected_slots;
};

Trace read_trace(const std::filesystem::path& path) {
  Trace trace;
  std::map<std::string, std::uint32_t> machine_types, zones, teams;
  const auto id = [](auto& names, const std::string& name) {
    return names.try_emplace(name, static_cast<std::uint32_t>(names.size())).first->second;
  };
  std::ifstream in(path);
  std::string line;
  while (std::getline(in, line)) {
    std::istringstream words(line);
    std::string what, name, word;
    if (!(words >> what) || what[0] == '#') continue;
    if (what == "now") {
      words >> trace.input.now;
    } else if (what == "expect") {
      std::getline(words >> std::ws, line);
      trace.expected_slots.push_back(line);
    } else if (what == "node") {
      words >> name;
      PlanNode node;
      node.node = NodeIndex{static_cast<std::uint32_t>(trace.node_names.size())};
      while (words >> word) {
        std::string value;
        if (word == "spot")
          node.spot = true;
        else if (word == "image")
          node.images.push_back(ImageIndex{0});
        else if (words >> value; word == "kind")
          node.machine_type = MachineTypeIndex{id(machine_types, value)};
        else if (word == "zone")
          node.zone = ZoneIndex{id(zones, value)};
        else if (word == "cores")
          node.capacity.cores = std::stod(value);
        else if (word == "gpus")
          node.capacity.accelerators = std::stod(value);
        else if (word == "ram")
          node.capacity.ram_gb = std::stod(value);
        else if (word == "fetch")
          node.image_fetch_gb_per_s = std::stod(value);
        else
          ADD_FAILURE() << path << ": " << word;
      }
      trace.node_names.push_back(name);
      trace.input.nodes.push_back(node);
    } else if (what == "busy") {
      words >> name;
      PlanNode::Occupant occupant;
      while (words >> word) {
        double value = 0;
        words >> value;
        if (word == "cores")
          occupant.demand.cores = value;
        else if (word == "ram")
          occupant.demand.ram_gb = value;
        else if (word == "until")
          occupant.ends_at = value;
        else
          ADD_FAILURE() << path << ": " << word;
      }
      const auto position = std::find(trace.node_names.begin(), trace.node_names.end(), name) - trace.node_names.begin();
      trace.input.nodes.at(static_cast<std::size_t>(position)).occupants.push_back(occupant);
    } else if (what == "team") {
      words >> name >> word;
      id(teams, name);
      TeamHeadroom headroom{{0, 1e9, 1e9}};
      words >> headroom.remaining.cores;
      trace.input.teams.push_back(headroom);
    } else {
      words >> name;
      PlanJob job;
      job.job = JobIndex{static_cast<std::uint32_t>(trace.job_names.size())};
      job.units = 1;
      job.gang = what == "gang";
      job.service = what == "service";
      double random_draw = -1, waited_s = 0;
      bool spread = false;
      while (words >> word) {
        if (word[0] == 'x') {
          job.units = static_cast<std::uint32_t>(std::stoul(word.substr(1)));
          continue;
        }
        if (word == "onezone") {
          job.single_zone = true;
          continue;
        }
        if (word == "spread") {
          spread = true;
          continue;
        }
        std::string value;
        words >> value;
        if (word == "cores")
          job.demand.cores = std::stod(value);
        else if (word == "gpus")
          job.demand.accelerators = std::stod(value);
        else if (word == "ram")
          job.demand.ram_gb = std::stod(value);
        else if (word == "pull")
          job.image_gb = std::stod(value), job.image = ImageIndex{0};
        else if (word == "run")
          job.estimated_run_s = std::stod(value);
        else if (word == "key")
          job.sort_key = std::stod(value);
        else if (word == "tier")
          job.tier = std::stoi(value);
        else if (word == "draw")
          random_draw = std::stod(value);
        else if (word == "waited")
          waited_s = std::stod(value);
        else if (word == "team")
          job.team = TeamIndex{id(teams, value)};
        else
          ADD_FAILURE() << path << ": " << word;
      }
      if (random_draw >= 0) job.sort_key = compute_sort_key(random_draw, job.estimated_run_s, 0.1 / 3600, waited_s, job.service);
      if (spread) job.max_tasks_per_zone = (job.units + 1) / 2;
      trace.job_names.push_back(name);
      trace.input.jobs.push_back(job);
    }
  }
  return trace;
}

class PlannerTrace : public testing::TestWithParam<std::filesystem::path> {};

TEST_P(PlannerTrace, MatchesTheExpectedPlan) {
  const Trace trace = read_trace(GetParam());
  ASSERT_FALSE(trace.expected_slots.empty());
  const Plan plan = make_plan(trace.input);
  std::vector<std::string> planned_slots;
  const auto describe = [&](const Slot& slot, bool start) {
    std::ostringstream out;
    out << (start ? "start " : "reserve ") << trace.job_names[slot.job.value] << ' ' << trace.node_names[slot.node.value] << " x"
        << slot.units;
    if (!start) out << " at " << slot.start_at;
    planned_slots.push_back(out.str());
  };
  for (const auto& slot : plan.starts) describe(slot, true);
  for (const auto& slot : plan.reservations) describe(slot, false);
  auto expected_slots = trace.expected_slots;
  std::sort(expected_slots.begin(), expected_slots.end());
  std::sort(planned_slots.begin(), planned_slots.end());
  EXPECT_EQ(planned_slots, expected_slots);
}

std::vector<std::filesystem::path> trace_files() {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(TRACES)) paths.push_back(entry.path());
  std::sort(paths.begin(), paths.end());
  return paths;
}

INSTANTIATE_TEST_SUITE_P(Files, PlannerTrace, testing::ValuesIn(trace_files()),
                         [](const auto& info) { return info.param.stem().string(); });

}  // namespace
}  // namespace thistlefront
