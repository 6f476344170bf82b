// Reports that are recognised by their bytes are read as the parser reads them, whatever stands in them.
#include "protocol/heartbeat_cache.hpp"

#include <gtest/gtest.h>

#include <random>

#include "model/heartbeat.hpp"
#include "model/task.hpp"
#include "protocol/worker_messages.hpp"

namespace thistlefront {
namespace {

std::string body(std::string_view serial, std::string_view tasks = "", std::string_view more = "") {
  return R"({"host":"m-1","address":"10.0.0.1:9000","hostKind":"big","yard":"a","loaners":false,"tenure":1,"serial":)" +
         std::string(serial) + R"(,"epoch":4,"recallS":null,"pieces":[)" + std::string(tasks) + "]" + std::string(more) + "}";
}
constexpr std::string_view kRunning = R"({"piece":"j-1/0","try":1,"status":"running"})";
constexpr std::string_view kExited = R"({"piece":"j-1/0","try":1,"status":"exited","cause":"done"})";

bool same(const Heartbeat& a, const Heartbeat& b) {
  if (a.tasks.size() != b.tasks.size()) return false;
  for (std::size_t i = 0; i < a.tasks.size(); ++i) {
    const auto &p = a.tasks[i], &q = b.tasks[i];
    if (p.id.uid != q.id.uid || p.id.task != q.id.task || p.attempt != q.attempt || p.phase != q.phase || p.exit_reason != q.exit_reason)
      return false;
  }
  return a.node == b.node && a.agent_incarnation == b.agent_incarnation && a.serial == b.serial && a.fencing_token == b.fencing_token &&
         a.interruption_in_s == b.interruption_in_s;
}

TEST(HeartbeatCache, TellsWhichReportIsRepeated) {
  HeartbeatCache heartbeat_cache;
  EXPECT_FALSE(heartbeat_cache.read(body("7", kRunning)).repeated_serial);
  const Heartbeat& second = heartbeat_cache.read(body("8", kRunning));
  EXPECT_EQ(second.serial, 8u);
  EXPECT_EQ(second.repeated_serial, 7u);
  EXPECT_EQ(heartbeat_cache.read(body("12", kRunning)).repeated_serial, 8u) << "with more digits too";
  EXPECT_FALSE(heartbeat_cache.read(body("13", kExited)).repeated_serial);
  EXPECT_EQ(heartbeat_cache.read(body("14", kExited)).tasks.at(0).exit_reason, ExitReason::completed);
}

TEST(HeartbeatCache, AMalformedReportIsRefusedAndForgotten) {
  HeartbeatCache heartbeat_cache;
  heartbeat_cache.read(body("7", kRunning));
  EXPECT_THROW(heartbeat_cache.read(body("-8", kRunning)), ProtocolError);
  EXPECT_FALSE(heartbeat_cache.read(body("9", kRunning)).repeated_serial);
  EXPECT_THROW(heartbeat_cache.read(body("x", kRunning)), ProtocolError);
}

// What could be taken for a serial and is none, or is one and not spelt as a plain number.
TEST(HeartbeatCache, OnlyTheSerialsOwnDigitsMayDiffer) {
  const std::vector<std::string> odd = {
      body("7", kRunning, R"(,"extra":{"serial":7})"),
      body("7", kRunning, R"(,"extra":{"serial":8})"),
      body("7", kRunning, R"(,"note":"a\"serial\":7")"),
      body("7.0", kRunning),
      body("7e0", kRunning),
      body("07", kRunning),
      body(" 7 ", kRunning),
      body("18446744073709551615", kRunning),
      body("18446744073709551616", kRunning),
      body("", kRunning),
      body("7", kRunning, R"(,"serial":9)"),
  };
  for (const auto& before : odd) {
    for (const auto& after : odd) {
      HeartbeatCache heartbeat_cache;
      const auto read = [&](const std::string& text) -> std::optional<Heartbeat> {
        try {
          return heartbeat_cache.read(text);
        } catch (const ProtocolError&) {
          return std::nullopt;
        }
      };
      const auto parsed = [](const std::string& text) -> std::optional<Heartbeat> {
        try {
          return parse_heartbeat(text);
        } catch (const ProtocolError&) {
          return std::nullopt;
        }
      };
      read(before);
      const auto got = read(after), expected = parsed(after);
      ASSERT_EQ(got.has_value(), expected.has_value()) << before << "\n" << after;
      if (!got) continue;
      EXPECT_TRUE(same(*got, *expected)) << before << "\n" << after;
    }
  }
}

TEST(HeartbeatCache, ReadsAsTheParserDoesWhateverByteChanges) {
  std::mt19937 random(7);
  const std::string whole = body("41", std::string(kRunning) + "," + R"({"piece":"j-2/31","try":12,"status":"pulling"})");
  constexpr std::string_view kBytes = "0123456789,:{}[]\"\\ eE.-ax";
  HeartbeatCache heartbeat_cache;
  std::size_t repeated = 0, malformed = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string text = whole;
    for (auto changes = random() % 3; changes > 0; --changes) text[random() % text.size()] = kBytes[random() % kBytes.size()];
    std::optional<Heartbeat> got, expected;
    try {
      got = heartbeat_cache.read(text);
    } catch (const ProtocolError&) {
    }
    try {
      expected = parse_heartbeat(text);
    } catch (const ProtocolError&) {
      ++malformed;
    }
    ASSERT_EQ(got.has_value(), expected.has_value()) << text;
    if (!got) continue;
    ASSERT_TRUE(same(*got, *expected)) << text;
    repeated += got->repeated_serial.has_value();
  }
  EXPECT_GT(repeated, 1000u);
  EXPECT_GT(malformed, 1000u);
}

}  // namespace
}  // namespace thistlefront
