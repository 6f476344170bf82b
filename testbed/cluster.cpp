#include "testbed/cluster.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront::testbed {

using nlohmann::json;

namespace {
constexpr const char* kZones[] = {"x", "y"};
constexpr double kTick = 0.1;
}  // namespace

Cluster::Cluster(const Options& options)
    : checker(kLimits, Times{}.cancel),
      state(options.controllers, options.seed),
      options_(options),
      directory_((std::filesystem::temp_directory_path() / ("thistlefront-fault-test-" + std::to_string(::getpid()))).string()),
      cloud_address_(test_support::free_address()) {
  std::filesystem::create_directories(directory_);
  cloud_ = std::make_unique<HttpServer>(cloud_address_, 20, [this](const HttpCall& c) { return cloud(c); });
  const auto n = options.controllers;
  for (std::size_t i = 0; i < n; ++i) {
    addresses_.push_back(test_support::free_address());
    peers_.push_back(test_support::free_address());
    configs_.push_back(directory_ + "/host-" + std::to_string(i) + ".toml");
  }
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t k = 0; k < n; ++k)
      if (i != k) relays_[{i, k}] = std::make_unique<Relay>(peers_[k]);
  for (std::size_t i = 0; i < n; ++i) configure(i, kLimits);
  processes_.resize(n);
  for (std::size_t i = 0; i < options.workers; ++i)
    workers.push_back(std::make_unique<Worker>("m-" + std::to_string(100000 + i), kZones[i % 2], addresses_, checker, times_,
                                               options.seed * 10000 + static_cast<unsigned>(i)));
  ticker_ = std::jthread([this](std::stop_token stop) {
    while (pause_for(stop, kTick)) checker.tick(steady_now());
  });
  for (std::size_t i = 0; i < options.users; ++i)
    users_.emplace_back([this, i](std::stop_token stop) { use(stop, options_.seed * 100 + static_cast<unsigned>(i)); });
}

void Cluster::configure(std::size_t i, const std::map<std::string, double>& limits) {
  const auto n = configs_.size();
  std::ofstream out(configs_[i]);
  out << "label = \"host-" << i << "\"\nsite = \"" << kZones[i % 2] << "\"\nclient_listen = \"" << addresses_[i] << "\"\npeer_listen = \""
      << peers_[i] << "\"\n";
  for (std::size_t k = 0; k < n; ++k)
    if (k != i)
      out << "[[peers]]\nlabel = \"host-" << k << "\"\nsite = \"" << kZones[k % 2] << "\"\naddr = \"" << relays_.at({i, k})->address()
          << "\"\n";
  out << "[endpoints]\ncloud = \"" << cloud_address_ << "\"\nstate = \"" << state.endpoint(i).address << "\"\n"
      << "[deployment]\ncount = " << n << "\nzones = [\"x\", \"y\"]\nskew_ms = 5\n";
  for (const auto& [team, limit] : limits)
    out << "[[deployment.teams]]\nname = \"" << team << "\"\ncpus = " << limit / 2 << "\ncpus_max = " << limit << "\n";
  out << "[deployment.workers]\nreport_s = " << times_.heartbeat << "\nlease_s = " << times_.lease
      << "\ngang_wait_s = 10\ngang_peer_s = 2\ncancel_s = " << times_.cancel
      << "\n[deployment.state]\nrps = 1000\nwrite_rps = 200\nvalue_kb = 8\ntxn_ops = 16\n"
      << "[deployment.state.next]\nvalue_kb = 2\ntxn_ops = 4\n"
      << "[deployment.cloud]\nrps = 10\nlist_lag_s = 1\n[deployment.limits]\ncpu = 1\nmemory_mb = "
         "500\nmax_sockets = 4000\n";
}

Cluster::~Cluster() {
  users_.clear();
  for (std::size_t i = 0; i < processes_.size(); ++i) end(i);
  workers.clear();
  cloud_->stop();
  std::filesystem::remove_all(directory_);
}

void Cluster::start(std::size_t i, const std::string& program, const std::vector<std::string>& flags) {
  std::vector<std::string> arguments = flags;
  arguments.insert(arguments.end(), {"--config", configs_[i]});
  const auto log = options_.logs.empty() ? "/dev/null" : options_.logs + "/host-" + std::to_string(i) + ".log";
  processes_[i].start(program, arguments, log);
}

void Cluster::end(std::size_t i) {
  processes_[i].end();
}

void Cluster::freeze(std::size_t i, bool frozen) {
  processes_[i].freeze(frozen);
}

void Cluster::part(std::size_t i, bool parted, bool state_too) {
  for (auto& [way, relay] : relays_)
    if (way.first == i || way.second == i) relay->cut(parted);
  if (state_too || !parted) state.endpoint(i).refuses = parted;
}

std::size_t Cluster::leader() {
  const auto label = state.leader();
  for (std::size_t i = 0; i < processes_.size(); ++i)
    if (label == "host-" + std::to_string(i)) return i;
  return processes_.size();
}

HttpReply Cluster::cloud(const HttpCall& call) {
  if (call.target == "/flavors")
    return {200, json{{"hostKinds",
                       {{{"sku", "big"},
                         {"cores", kMachineCores},
                         {"accelerators", 0},
                         {"ramGb", 64},
                         {"cacheGb", 50},
                         {"fetchGbPerS", 5},
                         {"price", 1},
                         {"marketPrice", 0.5},
                         {"bootS", 5},
                         {"yards", {"x", "y"}}}}}}
                     .dump()};
  if (call.method == "GET") {
    json nodes = json::array();
    if (call.target.find("from=") == std::string_view::npos)
      for (const auto& w : workers)
        nodes.push_back({{"uid", w->name()},
                         {"address", w->address()},
                         {"hostKind", "big"},
                         {"yard", w->zone()},
                         {"loaners", false},
                         {"status", "running"},
                         {"heldS", 100}});
    return {200, json{{"hosts", nodes}, {"truncated", false}}.dump()};
  }
  // Machines are neither rented nor given back: a trouble that the service has to live with.
  return {503, R"({"error":"no capacity"})"};
}

HttpResult Cluster::ask(const std::string& method, const std::string& path, const std::string& body, unsigned& random) {
  HttpResult last;
  for (std::size_t k = 0; k < addresses_.size(); ++k) {
    random = random * 1664525u + 1013904223u;
    HttpClient client(addresses_[(random >> 8) % addresses_.size()]);
    last = client.call(method, path, body, method == "GET" ? 2 : 5);
    if (last.delivery != Delivery::unsent) break;
  }
  return last;
}

void Cluster::poll(const std::string& uid, const HttpResult& answer, double sent) {
  const double now = steady_now();
  if (sent == 0) sent = now;
  const auto j = answer.delivery == Delivery::answered ? json::parse(answer.body, nullptr, false) : json();
  if (answer.is(200) || answer.is(201)) {
    checker.told(uid, j.is_object() ? j.value("status", std::string("?")) : "?", sent, now);
  } else if (answer.is(404)) {
    checker.told(uid, "unknown", sent, now);
  } else if (answer.is(400) || answer.is(422)) {
    checker.told(uid, "refused", sent, now);
  } else {
    checker.failed_poll(uid, now);
  }
}

void Cluster::look_everywhere(const std::string& uid, const std::string& submission) {
  std::vector<std::jthread> lookers;
  for (const auto& address : addresses_) {
    lookers.emplace_back([&] {
      for (int k = 0; k < 2; ++k) {
        HttpClient client(address);
        const double sent = steady_now();
        const bool repeats = k == 1 && !submission.empty();
        poll(uid, repeats ? client.call("POST", "/v1/jobs", submission, 5) : client.call("GET", "/v1/jobs/" + uid, "", 2), sent);
      }
    });
  }
}

void Cluster::use(std::stop_token stop, unsigned seed) {
  std::mt19937 random(seed);
  unsigned dice = seed;
  std::vector<std::string> mine;
  std::uint64_t n = 0;
  while (pause_for(stop, 0.15)) {
    const auto what = random() % 10;
    if (mine.empty() || what < 3) {
      SubmittedJob job;
      job.uid = "j-" + std::to_string(seed * 100000ull + ++n);
      job.owner = random() % 3 == 0 ? "blue" : "red";
      job.job_type = random() % 12 == 0 ? "service" : "batch";
      job.task_count = 1 + random() % (job.job_type == "service" ? 3 : 6);
      job.run_s = 0.5 + random() % 3;
      if (random() % 4 == 0) job.zone = kZones[random() % 2];
      // Shared forerunners, of any user and team, in any state; now and then several.
      if (dependent_jobs && random() % 3 != 0) job.depends_on = checker.some_accepted(1 + random() % 3, random());
      checker.submitted(job, steady_now());
      json body{{"uid", job.uid},
                {"jobClass", job.job_type},
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
                {"expectedS", job.job_type == "service" ? 0 : job.run_s},
                {"snapshotEveryS", 0},
                {"snapshotS", 0},
                {"dueS", nullptr}};
      if (!job.zone.empty()) body["yard"] = job.zone;
      if (!job.depends_on.empty()) body["waitsOn"] = job.depends_on;
      HttpResult answer;
      for (int tries = 0; tries < 20 && !stop.stop_requested(); ++tries) {
        answer = ask("POST", "/v1/jobs", body.dump(), dice);
        if (answer.is(200) || answer.is(201) || answer.is(400) || answer.is(422)) break;
        if (!pause_for(stop, 1)) return;
      }
      if (answer.is(200) || answer.is(201)) mine.push_back(job.uid);
      poll(job.uid, answer);
      if ((answer.is(200) || answer.is(201)) && random() % 4 == 0) look_everywhere(job.uid, body.dump());
    } else if ((what == 3 && random() % 3 == 0) || mine.size() > 40) {
      const auto at = random() % mine.size();
      // Work that ends by itself is let go; services go on until they are withdrawn.
      if (const auto spec = checker.spec_of(mine[at]); mine.size() > 40 && spec && spec->job_type != "service") {
        mine.erase(mine.begin() + static_cast<long>(at));
        continue;
      }
      checker.wants_withdrawn(mine[at]);
      const auto answer = ask("POST", "/v1/jobs/" + mine[at] + "/withdraw", "", dice);
      poll(mine[at], answer);
      if (answer.is(200) && random() % 2 == 0) look_everywhere(mine[at], "");
    } else if (what == 4) {
      const auto uid = "j-9" + std::to_string(random());
      const auto answer = ask("GET", "/v1/jobs/" + uid, "", dice);
      if (answer.is(200)) checker.told(uid, "known", steady_now());
    } else {
      const auto& uid = mine[random() % mine.size()];
      const auto answer = ask("GET", "/v1/jobs/" + uid, "", dice);
      poll(uid, answer);
      if (answer.is(200) && answer.body.find(R"("status":"done")") != std::string::npos && random() % 8 == 0) look_everywhere(uid, "");
    }
    // Services and jobs that go on for long are withdrawn in the end.
    if (mine.size() > 60) mine.erase(mine.begin());
  }
}

}  // namespace thistlefront::testbed
