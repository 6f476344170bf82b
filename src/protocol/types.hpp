// Typed values shared by all layers above transport.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace thistle {

// Steady clocks of different machines diverge by at most this share, with some to spare.
inline constexpr double kClockDrift = 0.001;

// A dense index; the tag keeps jobs, hosts and the rest apart.
template <class Tag>
struct Index {
  std::uint32_t v = UINT32_MAX;
  [[nodiscard]] bool valid() const { return v != UINT32_MAX; }
  friend bool operator==(Index, Index) = default;
  friend auto operator<=>(Index, Index) = default;
};
using JobIdx = Index<struct JobTag>;
using HostIdx = Index<struct HostTag>;
using TeamIdx = Index<struct TeamTag>;
using KindIdx = Index<struct KindTag>;
using ZoneIdx = Index<struct ZoneTag>;
using ImageIdx = Index<struct ImageTag>;
using ClassIdx = Index<struct ClassTag>;

// A map by name in which a name is looked up without a copy of it.
struct NameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view name) const noexcept { return std::hash<std::string_view>{}(name); }
};
template <class Value>
using NameMap = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

// Maps names to dense indices at the door.
template <class Idx>
class Interner {
 public:
  Idx intern(std::string_view name) {
    auto it = index_.find(name);
    if (it != index_.end()) return it->second;
    Idx idx{static_cast<std::uint32_t>(names_.size())};
    names_.emplace_back(name);
    index_.emplace(names_.back(), idx);
    return idx;
  }
  [[nodiscard]] Idx find(std::string_view name) const {
    auto it = index_.find(name);
    return it == index_.end() ? Idx{} : it->second;
  }
  [[nodiscard]] const std::string& name(Idx idx) const { return names_[idx.v]; }
  [[nodiscard]] std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  NameMap<Idx> index_;
};

struct Resources {
  double cores = 0, accelerators = 0, ram_gb = 0;
  Resources& operator+=(const Resources& o) {
    cores += o.cores, accelerators += o.accelerators, ram_gb += o.ram_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cores -= o.cores, accelerators -= o.accelerators, ram_gb -= o.ram_gb;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(const Resources& a, double k) { return {a.cores * k, a.accelerators * k, a.ram_gb * k}; }
  // Whether this much can be taken out of `room`; sums of decimals are given a little slack.
  [[nodiscard]] bool fits(const Resources& room) const {
    constexpr double slack = 1e-6;
    return cores <= room.cores + slack && accelerators <= room.accelerators + slack && ram_gb <= room.ram_gb + slack;
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};

enum class Shape : std::uint8_t { batch, group, service };
enum class Rank : std::uint8_t { idle, standard, high, prod };
enum class JobStatus : std::uint8_t { queued, running, done, aborted };
enum class Phase : std::uint8_t { pulling, gathering, running, saving, exited };
enum class Cause : std::uint8_t { none, done, halted, peers, alone, error, no_room, busy, unknown, lost };

// A submission as its user sent it, checked but not yet interned.
struct Submission {
  std::string uid, job_class, owner;
  Shape shape = Shape::batch;
  Rank rank = Rank::standard;
  std::uint32_t task_count = 1;
  Resources demand;
  std::string bundle;
  double pull_gb = 0;
  std::vector<std::string> host_kinds;  // empty: any
  std::string yard;                     // empty: any
  bool one_zone = false, spread = false, loaners = false;
  double expected_s = 0, snapshot_every_s = 0, snapshot_s = 0;
  std::optional<double> due_s;
  std::vector<std::string> waits_on;  // jobs to be done before any task of this one starts; none twice
};

struct Flavor {
  std::string name;
  Resources capacity;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, market_price = 0, boot_s = 0;
  std::vector<std::string> yards;
};

struct Machine {
  std::string name, address, machine_type, yard;
  bool loaner = false;
  enum class Status : std::uint8_t { booting, running, failed } status = Status::booting;
  double held_s = 0;
};

struct PieceId {
  std::string uid;
  std::uint32_t task = 0;
};

struct ReportedPiece {
  PieceId id;
  std::uint64_t attempt = 0;
  Phase phase = Phase::pulling;
  Cause cause = Cause::none;
  bool checkpointed = false;
};

struct Report {
  std::string host, address, machine_type, yard;
  bool loaner = false;
  std::uint64_t tenure = 0, serial = 0, epoch = 0;
  std::optional<double> recall_s;
  std::vector<ReportedPiece> tasks;
  // Not on the wire: the serial of an earlier report of the same session that said the same of everything but its own serial,
  // where the reader knows of one.
  std::optional<std::uint64_t> repeated_serial = {};
};

enum class Verb : std::uint8_t { run, kill, reap };
struct Order {
  Verb type = Verb::run;
  PieceId id;
  std::uint64_t attempt = 0;
  double wind_down_s = 0;
};

// Half-open range of task numbers.
struct Range {
  std::uint32_t first = 0, last = 0;
  friend bool operator==(const Range&, const Range&) = default;
};
using Ranges = std::vector<Range>;
inline void add_to(Ranges& ranges, std::uint32_t task) {
  if (!ranges.empty() && ranges.back().last == task) {
    ++ranges.back().last;
  } else {
    ranges.push_back({task, task + 1});
  }
}

// What the ledger holds, in order. Replayed from the beginning they give the same book again.
struct AcceptRecord {
  Submission job;
  double draw = 0;  // the key's random number, drawn once at intake
  double at = 0;    // wall seconds
};
struct StartRecord {
  struct NodeAssignment {
    std::string host;
    std::uint64_t tenure = 0;
    Ranges tasks;
  };
  std::string uid;
  std::uint64_t attempt = 0;
  double at = 0;
  std::vector<NodeAssignment> assignments;
};
struct DoneRecord {
  std::string uid;
  Ranges tasks;
  double at = 0;  // wall seconds, from state level 4 on and where some job waits for this one; 0: not told
};
struct OffRecord {  // no longer on a host, and not done
  std::string uid;
  std::uint64_t attempt = 0;
  Ranges tasks;
  double failed_at = 0;  // wall seconds when these failed; 0: off for another reason
};
struct CancelRecord {
  std::string uid;
};
struct FlavorsRecord {
  std::vector<Flavor> flavors;
};
// A job as it is at this point of the ledger, so that the entries it came from can go.
struct JobRecord {
  struct PlacedTasks {
    std::string host;
    std::uint64_t tenure = 0, attempt = 0;
    double at = 0;
    Ranges tasks;
  };
  AcceptRecord accept;
  JobStatus status = JobStatus::queued;
  std::uint64_t attempts = 0;
  Ranges done;
  std::vector<PlacedTasks> placed;
  // A job with many ranges comes in several records; each covers tasks from `from` on.
  std::uint32_t from = 0;
  bool more = false;     // further ones follow
  bool suspect = false;  // it failed wherever it ran
  double ready_at = 0;   // wall seconds, of a job that waited for others and does no longer; 0: of any other
};
// Ended jobs need only their name and how they ended.
struct EndedRecord {
  JobStatus status = JobStatus::done;
  std::vector<std::string> uids;
  // From state level 4 on, by place in `uids`: when they were done (wall seconds), where a job that has not ended needed
  // them; and which of them were services, that nobody may wait for.
  std::vector<std::pair<std::uint32_t, double>> done_at = {};
  std::vector<std::uint32_t> services = {};
};
// What a team is guaranteed and may use at most; 0: none. Memory is neither.
struct TeamTerms {
  Resources guarantee, limit;
  friend bool operator==(const TeamTerms&, const TeamTerms&) = default;
};
// A team's terms, from state level 3 on.
struct TeamRecord {
  std::string name;
  std::optional<TeamTerms> agreed;    // in force
  std::optional<TeamTerms> proposed;  // by the settings of some controllers: narrows what is in force
  bool leaving = false;               // in no settings any more: takes no jobs, and keeps its terms
  friend bool operator==(const TeamRecord&, const TeamRecord&) = default;
};
using Record =
    std::variant<AcceptRecord, StartRecord, DoneRecord, OffRecord, CancelRecord, FlavorsRecord, JobRecord, EndedRecord, TeamRecord>;

}  // namespace thistle

template <class Tag>
struct std::hash<thistle::Index<Tag>> {
  std::size_t operator()(thistle::Index<Tag> i) const noexcept { return i.v; }
};
