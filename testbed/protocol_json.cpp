#include "testbed/protocol_json.hpp"

namespace thistlefront::testbed {

using nlohmann::json;

json machine_types(double cores, int ram_gb, const std::vector<std::string>& zones) {
  json type{{"sku", "big"},     {"cores", cores}, {"accelerators", 0},  {"ramGb", ram_gb}, {"cacheGb", 50},
            {"fetchGbPerS", 5}, {"price", 1},     {"marketPrice", 0.5}, {"bootS", 5},      {"yards", zones}};
  json out = json::object();
  out["hostKinds"].push_back(std::move(type));
  return out;
}

json instance_list(const std::vector<InstanceDescription>& instances, bool truncated) {
  json listed = json::array();
  for (const auto& instance : instances)
    listed.push_back({{"uid", instance.name},
                      {"address", instance.address},
                      {"hostKind", "big"},
                      {"yard", instance.zone},
                      {"loaners", false},
                      {"status", "running"},
                      {"heldS", 100}});
  return {{"hosts", std::move(listed)}, {"truncated", truncated}};
}

json submission_body(const SubmittedJob& job, const std::string& job_class, double expected_s) {
  json body{{"uid", job.uid},
            {"jobClass", job_class},
            {"owner", job.owner},
            {"shape", job.job_type},
            {"rank", job.job_type == "service" ? "prod" : "standard"},
            {"pieces", job.task_count},
            {"cores", job.cores},
            {"accelerators", 0},
            {"ramGb", 1},
            {"bundle", "i"},
            {"pullGb", 1},
            {"hostKinds", nullptr},
            {"yard", nullptr},
            {"oneZone", false},
            {"spread", false},
            {"loaners", false},
            {"expectedS", expected_s},
            {"snapshotEveryS", 0},
            {"snapshotS", 0},
            {"dueS", nullptr}};
  if (!job.zone.empty()) body["yard"] = job.zone;
  if (!job.depends_on.empty()) body["waitsOn"] = job.depends_on;
  return body;
}

}  // namespace thistlefront::testbed
