// Reports that are recognised by their bytes are read as the parser reads them, whatever stands in them.
#include "protocol/report_memo.hpp"

#include <gtest/gtest.h>

#include <random>

#include "protocol/messages.hpp"

namespace thistle {
namespace {

std::string body(std::string_view serial, std::string_view pieces = "", std::string_view more = "") {
  return R"({"host":"m-1","address":"10.0.0.1:9000","hostKind":"big","yard":"a","loaners":false,"tenure":1,"serial":)" +
         std::string(serial) + R"(,"epoch":4,"recallS":null,"pieces":[)" + std::string(pieces) + "]" + std::string(more) + "}";
}
constexpr std::string_view kRunning = R"({"piece":"j-1/0","try":1,"status":"running"})";
constexpr std::string_view kExited = R"({"piece":"j-1/0","try":1,"status":"exited","cause":"done"})";

bool same(const Report& a, const Report& b) {
  if (a.tasks.size() != b.tasks.size()) return false;
  for (std::size_t i = 0; i < a.tasks.size(); ++i) {
    const auto &p = a.tasks[i], &q = b.tasks[i];
    if (p.id.uid != q.id.uid || p.id.task != q.id.task || p.attempt != q.attempt || p.phase != q.phase || p.cause != q.cause) return false;
  }
  return a.host == b.host && a.tenure == b.tenure && a.serial == b.serial && a.epoch == b.epoch && a.recall_s == b.recall_s;
}

TEST(ReportMemo, TellsWhichReportIsRepeated) {
  ReportMemo memo;
  EXPECT_FALSE(memo.read(body("7", kRunning)).repeated_serial);
  const Report& second = memo.read(body("8", kRunning));
  EXPECT_EQ(second.serial, 8u);
  EXPECT_EQ(second.repeated_serial, 7u);
  EXPECT_EQ(memo.read(body("12", kRunning)).repeated_serial, 8u) << "with more digits too";
  EXPECT_FALSE(memo.read(body("13", kExited)).repeated_serial);
  EXPECT_EQ(memo.read(body("14", kExited)).tasks.at(0).cause, Cause::done);
}

TEST(ReportMemo, AMalformedReportIsRefusedAndForgotten) {
  ReportMemo memo;
  memo.read(body("7", kRunning));
  EXPECT_THROW(memo.read(body("-8", kRunning)), Malformed);
  EXPECT_FALSE(memo.read(body("9", kRunning)).repeated_serial);
  EXPECT_THROW(memo.read(body("x", kRunning)), Malformed);
}

// What could be taken for a serial and is none, or is one and not spelt as a plain number.
TEST(ReportMemo, OnlyTheSerialsOwnDigitsMayDiffer) {
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
      ReportMemo memo;
      const auto read = [&](const std::string& text) -> std::optional<Report> {
        try {
          return memo.read(text);
        } catch (const Malformed&) {
          return std::nullopt;
        }
      };
      const auto parsed = [](const std::string& text) -> std::optional<Report> {
        try {
          return parse_report(text);
        } catch (const Malformed&) {
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

TEST(ReportMemo, ReadsAsTheParserDoesWhateverByteChanges) {
  std::mt19937 random(7);
  const std::string whole = body("41", std::string(kRunning) + "," + R"({"piece":"j-2/31","try":12,"status":"pulling"})");
  constexpr std::string_view kBytes = "0123456789,:{}[]\"\\ eE.-ax";
  ReportMemo memo;
  std::size_t repeated = 0, malformed = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string text = whole;
    for (auto changes = random() % 3; changes > 0; --changes) text[random() % text.size()] = kBytes[random() % kBytes.size()];
    std::optional<Report> got, expected;
    try {
      got = memo.read(text);
    } catch (const Malformed&) {
    }
    try {
      expected = parse_report(text);
    } catch (const Malformed&) {
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
}  // namespace thistle
