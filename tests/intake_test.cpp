// Reports that travel as differences: whatever is lost, late, repeated or swapped on the way, the leader sees the report that the
// worker sent, or asks for the whole of it.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include "intake/report_exchange.hpp"
#include "protocol/intake_messages.hpp"
#include "protocol/peer_messages.hpp"

namespace thistle {
namespace {

std::string text_of(const ReportedPiece& p) {
  return p.id.uid + "/" + std::to_string(p.id.task) + "." + std::to_string(p.attempt) + "=" + std::to_string(static_cast<int>(p.phase)) +
         "," + std::to_string(static_cast<int>(p.cause)) + (p.checkpointed ? "k" : "");
}
// All that a report says, its tasks in one order.
std::string text_of(const Report& r) {
  std::vector<std::string> pieces;
  for (const auto& p : r.tasks) pieces.push_back(text_of(p));
  std::sort(pieces.begin(), pieces.end());
  std::string out = r.host + " " + r.address + " " + r.machine_type + " " + r.yard + (r.loaner ? " spot " : " ") +
                    std::to_string(r.tenure) + "." + std::to_string(r.serial) + " " + std::to_string(r.epoch) + " " +
                    (r.recall_s ? std::to_string(*r.recall_s) : "-");
  for (const auto& p : pieces) out += " " + p;
  return out;
}

// A worker whose tasks change at random.
class RandomWorker {
 public:
  RandomWorker(std::string name, std::mt19937& random) : random_(random) {
    report_.host = std::move(name);
    report_.address = "127.0.0.1:" + std::to_string(random() % 60000);
    report_.machine_type = "big";
    report_.yard = "a";
    report_.tenure = 1;
  }
  const Report& next() {
    const auto before = report_.serial;
    ++report_.serial;
    report_.repeated_serial.reset();
    const auto what = random_() % 10;
    if (what < 4) {
      // As the reader of its connection would tell, where the one before was read there.
      if (random_() % 2 == 0) report_.repeated_serial = before;
    } else if (what == 4 && random_() % 4 == 0) {
      ++report_.tenure;
      report_.tasks.clear();
    } else if (what == 5) {
      report_.epoch += random_() % 2;
    } else if (what == 6) {
      report_.recall_s = random_() % 2 ? std::optional<double>(static_cast<double>(random_() % 100) / 4) : std::nullopt;
    } else if (what == 7 && !report_.tasks.empty()) {
      report_.tasks.erase(report_.tasks.begin() + static_cast<long>(random_() % report_.tasks.size()));
    } else if (what == 8 && !report_.tasks.empty()) {
      auto& piece = report_.tasks[random_() % report_.tasks.size()];
      piece.phase = static_cast<Phase>(random_() % 5);
      piece.cause = piece.phase == Phase::exited ? static_cast<Cause>(1 + random_() % 8) : Cause::none;
      piece.checkpointed = piece.phase == Phase::exited && random_() % 2;
    } else {
      report_.tasks.push_back({{"j-" + std::to_string(random_() % 3), static_cast<std::uint32_t>(random_() % 4)},
                               ++attempts_,
                               Phase::pulling,
                               Cause::none,
                               false});
      std::shuffle(report_.tasks.begin(), report_.tasks.end(), random_);
      if (random_() % 40 == 0) report_.tasks.push_back(report_.tasks.front());  // no worker does that: it travels whole
    }
    return report_;
  }
  // A command that it answered moved its serial on.
  void skip() { ++report_.serial; }

 private:
  std::mt19937& random_;
  Report report_;
  std::uint64_t attempts_ = 0;
};

struct Tally {
  std::size_t whole = 0, difference = 0, unchanged = 0, asked = 0;
};

// Two intakes, workers that move between them, a leader that changes. Deltas travel late, twice, swapped, or not at all.
void play(unsigned seed, Tally& tally) {
  std::mt19937 random(seed);
  std::vector<RandomWorker> workers;
  for (int i = 0; i < 3; ++i) workers.emplace_back("m-" + std::to_string(i), random);
  struct OnItsWay {
    std::size_t intake;
    Report report;
    Frame frame;
  };
  ReportSender senders[2];
  ReportReceiver receiver;
  std::deque<OnItsWay> way;
  for (int step = 0; step < 400; ++step) {
    const auto what = random() % 12;
    if (what < 5) {
      auto& worker = workers[random() % workers.size()];
      if (random() % 6 == 0) worker.skip();
      const Report& report = worker.next();
      const auto intake = random() % 8 == 0 ? random() % 2 : std::size_t{0};
      const auto delta = senders[intake].encode(report);
      tally.whole += delta.kind == ReportDelta::Kind::whole;
      tally.difference += delta.kind == ReportDelta::Kind::difference;
      tally.unchanged += delta.kind == ReportDelta::Kind::unchanged;
      way.push_back({intake, report, pack(IntakeBatch{"host-0", 1, 0, {delta}})});
    } else if (what == 5 && random() % 10 == 0) {
      receiver = {};  // another leader; its intakes learn of it sooner or later
      if (random() % 2) senders[random() % 2].clear();
    } else if (what == 6 && random() % 20 == 0) {
      senders[random() % 2].clear();  // an intake that ended and is back
    } else if (!way.empty()) {
      const std::size_t at = random() % 5 == 0 ? random() % way.size() : 0;
      const OnItsWay message = way[at];
      if (random() % 6 != 0) way.erase(way.begin() + static_cast<long>(at));  // else it comes once more
      if (random() % 8 == 0) continue;                                        // or never, or its answer does not
      const auto batch = unpack_intake_batch(message.frame);
      ASSERT_TRUE(batch && batch->reports.size() == 1);
      const Report* got = receiver.decode(batch->reports[0]);
      if (!got) {
        ++tally.asked;
        senders[message.intake].forget(message.report.host);
        continue;
      }
      ASSERT_EQ(text_of(*got), text_of(message.report)) << "seed " << seed << ", step " << step;
      if (random() % 8 != 0) senders[message.intake].record_acknowledged(message.report);
    }
  }
}

TEST(Intake, TheLeaderSeesWhatTheWorkerSentOrAsksAgain) {
  Tally tally;
  for (unsigned seed = 1; seed <= 1500; ++seed) {
    play(seed, tally);
    if (testing::Test::HasFatalFailure()) return;
  }
  // All of it was really played.
  EXPECT_GT(tally.whole, 10000u);
  EXPECT_GT(tally.difference, 10000u);
  EXPECT_GT(tally.unchanged, 10000u);
  EXPECT_GT(tally.asked, 1000u);
}

TEST(Intake, ADifferenceOntoAnotherReportIsRefused) {
  std::mt19937 random(5);
  RandomWorker worker("m-1", random);
  ReportSender sender;
  ReportReceiver receiver;
  const Report first = worker.next();
  ASSERT_TRUE(receiver.decode(sender.encode(first)));
  sender.record_acknowledged(first);
  Report second = first;
  second.serial += 2;
  second.tasks.push_back({{"j-9", 0}, 1, Phase::running, Cause::none, false});
  const auto delta = sender.encode(second);
  ASSERT_NE(delta.kind, ReportDelta::Kind::whole);
  ReportReceiver fresh;
  EXPECT_EQ(fresh.decode(delta), nullptr) << "a new leader";
  auto of_another_session = delta;
  ++of_another_session.tenure;
  EXPECT_EQ(receiver.decode(of_another_session), nullptr);
  auto onto_another = delta;
  ++onto_another.base_serial;
  EXPECT_EQ(receiver.decode(onto_another), nullptr);
  ASSERT_TRUE(receiver.decode(delta));
  EXPECT_EQ(receiver.decode(delta), nullptr) << "a second copy: the report it builds on is no longer the newest";
}

TEST(Intake, AnAnswerTravelsAsItIs) {
  IntakeAnswer answer;
  answer.takeover_epoch = 7;
  answer.epoch = 9;
  answer.redirect_count = 3;
  answer.redirect_target = "host-2";
  answer.answers = {{WorkerAnswer::Outcome::renewed, {{Verb::run, {"j-1", 4}, 2, 0}, {Verb::kill, {"j-2", 0}, 1, 4.5}}},
                    {WorkerAnswer::Outcome::full_required, {}},
                    {WorkerAnswer::Outcome::refused, {}},
                    {WorkerAnswer::Outcome::retry_later, {}}};
  const auto got = unpack_intake_answer(pack(answer));
  ASSERT_TRUE(got);
  EXPECT_EQ(got->takeover_epoch, 7u);
  EXPECT_EQ(got->epoch, 9u);
  EXPECT_EQ(got->redirect_count, 3u);
  EXPECT_EQ(got->redirect_target, "host-2");
  ASSERT_EQ(got->answers.size(), 4u);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(got->answers[i].outcome, answer.answers[i].outcome);
  ASSERT_EQ(got->answers[0].orders.size(), 2u);
  EXPECT_EQ(got->answers[0].orders[0].type, Verb::run);
  EXPECT_EQ(got->answers[0].orders[1].id.uid, "j-2");
  EXPECT_DOUBLE_EQ(got->answers[0].orders[1].wind_down_s, 4.5);
}

TEST(Intake, AMalformedBatchIsRefusedAsAWhole) {
  std::mt19937 random(11);
  RandomWorker worker("m-1", random);
  IntakeBatch batch{"host-1", 5, 2, {}};
  ReportSender sender;
  for (int i = 0; i < 30; ++i) {
    const Report report = worker.next();
    batch.reports.push_back(sender.encode(report));
    sender.record_acknowledged(report);
  }
  const Frame whole = pack(batch);
  ASSERT_TRUE(unpack_intake_batch(whole));
  for (std::size_t size = 0; size < whole.payload.size(); ++size)
    ASSERT_FALSE(unpack_intake_batch({whole.kind, whole.payload.substr(0, size)})) << size << " bytes of it";
  EXPECT_FALSE(unpack_intake_batch({whole.kind, whole.payload + "x"}));
  EXPECT_FALSE(unpack_intake_batch({static_cast<std::uint8_t>(PeerKind::call), whole.payload}));
  auto of_a_later_version = whole;
  of_a_later_version.payload[0] = 2;
  EXPECT_FALSE(unpack_intake_batch(of_a_later_version));
  // Altered bytes are refused or read as something else of the right form; nothing is read past the end.
  for (int i = 0; i < 20000; ++i) {
    Frame altered = whole;
    for (auto changes = 1 + random() % 4; changes > 0; --changes)
      altered.payload[random() % altered.payload.size()] = static_cast<char>(random());
    const auto got = unpack_intake_batch(altered);
    if (!got) continue;
    ReportReceiver receiver;
    for (const auto& delta : got->reports) {
      EXPECT_FALSE(delta.host.empty());
      receiver.decode(delta);
    }
  }
}

}  // namespace
}  // namespace thistle
