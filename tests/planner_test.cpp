// Runs the traces: each file holds nodes and waiting jobs, and the plan that is expected for them.
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
  std::vector<std::string> nodes, jobs;
  std::vector<std::string> expected;
};

Trace read_trace(const std::filesystem::path& path) {
  Trace t;
  std::map<std::string, std::uint32_t> kinds, zones, teams;
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
      words >> t.input.now;
    } else if (what == "expect") {
      std::getline(words >> std::ws, line);
      t.expected.push_back(line);
    } else if (what == "node") {
      words >> name;
      PlanNode h;
      h.node = NodeIndex{static_cast<std::uint32_t>(t.nodes.size())};
      while (words >> word) {
        std::string value;
        if (word == "spot")
          h.spot = true;
        else if (word == "image")
          h.images.push_back(ImageIndex{0});
        else if (words >> value; word == "kind")
          h.machine_type = MachineTypeIndex{id(kinds, value)};
        else if (word == "zone")
          h.zone = ZoneIndex{id(zones, value)};
        else if (word == "cores")
          h.capacity.cores = std::stod(value);
        else if (word == "gpus")
          h.capacity.accelerators = std::stod(value);
        else if (word == "ram")
          h.capacity.ram_gb = std::stod(value);
        else if (word == "fetch")
          h.image_fetch_gb_per_s = std::stod(value);
        else
          ADD_FAILURE() << path << ": " << word;
      }
      t.nodes.push_back(name);
      t.input.nodes.push_back(h);
    } else if (what == "busy") {
      words >> name;
      PlanNode::Occupant o;
      while (words >> word) {
        double value = 0;
        words >> value;
        if (word == "cores")
          o.demand.cores = value;
        else if (word == "ram")
          o.demand.ram_gb = value;
        else if (word == "until")
          o.until = value;
        else
          ADD_FAILURE() << path << ": " << word;
      }
      const auto at = std::find(t.nodes.begin(), t.nodes.end(), name) - t.nodes.begin();
      t.input.nodes.at(static_cast<std::size_t>(at)).occupants.push_back(o);
    } else if (what == "team") {
      words >> name >> word;
      id(teams, name);
      TeamHeadroom room{{0, 1e9, 1e9}};
      words >> room.remaining.cores;
      t.input.teams.push_back(room);
    } else {
      words >> name;
      PlanJob j;
      j.job = JobIndex{static_cast<std::uint32_t>(t.jobs.size())};
      j.units = 1;
      j.gang = what == "gang";
      j.service = what == "service";
      double random_draw = -1, waited = 0;
      bool spread = false;
      while (words >> word) {
        if (word[0] == 'x') {
          j.units = static_cast<std::uint32_t>(std::stoul(word.substr(1)));
          continue;
        }
        if (word == "onezone") {
          j.single_zone = true;
          continue;
        }
        if (word == "spread") {
          spread = true;
          continue;
        }
        std::string value;
        words >> value;
        if (word == "cores")
          j.demand.cores = std::stod(value);
        else if (word == "gpus")
          j.demand.accelerators = std::stod(value);
        else if (word == "ram")
          j.demand.ram_gb = std::stod(value);
        else if (word == "pull")
          j.image_gb = std::stod(value), j.image = ImageIndex{0};
        else if (word == "run")
          j.estimated_run_s = std::stod(value);
        else if (word == "key")
          j.key = std::stod(value);
        else if (word == "tier")
          j.tier = std::stoi(value);
        else if (word == "draw")
          random_draw = std::stod(value);
        else if (word == "waited")
          waited = std::stod(value);
        else if (word == "team")
          j.team = TeamIndex{id(teams, value)};
        else
          ADD_FAILURE() << path << ": " << word;
      }
      if (random_draw >= 0) j.key = key_of(random_draw, j.estimated_run_s, 0.1 / 3600, waited, j.service);
      if (spread) j.max_tasks_per_zone = (j.units + 1) / 2;
      t.jobs.push_back(name);
      t.input.jobs.push_back(j);
    }
  }
  return t;
}

class PlannerTrace : public testing::TestWithParam<std::filesystem::path> {};

TEST_P(PlannerTrace, GivesTheExpectedPlan) {
  const Trace t = read_trace(GetParam());
  ASSERT_FALSE(t.expected.empty());
  const Plan plan = make_plan(t.input);
  std::vector<std::string> got;
  const auto describe = [&](const Slot& s, bool start) {
    std::ostringstream out;
    out << (start ? "start " : "reserve ") << t.jobs[s.job.value] << ' ' << t.nodes[s.node.value] << " x" << s.count;
    if (!start) out << " at " << s.at;
    got.push_back(out.str());
  };
  for (const auto& s : plan.starts) describe(s, true);
  for (const auto& s : plan.reservations) describe(s, false);
  auto expected = t.expected;
  std::sort(expected.begin(), expected.end());
  std::sort(got.begin(), got.end());
  EXPECT_EQ(got, expected);
}

std::vector<std::filesystem::path> traces() {
  std::vector<std::filesystem::path> out;
  for (const auto& e : std::filesystem::directory_iterator(TRACES)) out.push_back(e.path());
  std::sort(out.begin(), out.end());
  return out;
}

INSTANTIATE_TEST_SUITE_P(Files, PlannerTrace, testing::ValuesIn(traces()), [](const auto& info) { return info.param.stem().string(); });

}  // namespace
}  // namespace thistlefront
