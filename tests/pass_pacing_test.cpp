// Planning leaves most processor time to requests and lease renewals.
#include "scheduling/pass_pacing.hpp"

#include <gtest/gtest.h>

namespace thistlefront {
namespace {

TEST(PassPacing, RestsForThePassPeriodAfterAPassThatCostsNothing) {
  EXPECT_DOUBLE_EQ(rest_after_pass({0, 0}, {0.1, 0.038}), 0.1);
}

TEST(PassPacing, RestsForFourTimesAsLongAsThePassTook) {
  EXPECT_DOUBLE_EQ(rest_after_pass({0.05, 0}, {0.1, 1}), 0.2);
}

// Guards against late lease renewals: ten passes of 3 ms per second took 80% of a processor limit of 3.8% of a core.
TEST(PassPacing, UsesNoMoreThanAQuarterOfTheProcessorLimit) {
  const double processor_s = 0.003, limit_cores = 0.038;
  const double rest_s = rest_after_pass({0, processor_s}, {0.1, limit_cores});
  EXPECT_NEAR(processor_s / rest_s, limit_cores / 4, 1e-12);
}

TEST(PassPacing, RestsNoLongerThanASecondUnderAnyLoad) {
  EXPECT_DOUBLE_EQ(rest_after_pass({9, 9}, {0.1, 0.001}), kMaxPassRestSeconds);
  EXPECT_DOUBLE_EQ(rest_after_pass({9, 9}, {30, 0.001}), 30) << "a longer pass period is kept";
}

TEST(PassPacing, TreatsAnUnknownOrLargerProcessorLimitAsOneCore) {
  EXPECT_DOUBLE_EQ(rest_after_pass({0, 0.05}, {0.1, 0}), rest_after_pass({0, 0.05}, {0.1, 1}));
  EXPECT_DOUBLE_EQ(rest_after_pass({0, 0.05}, {0.1, 8}), rest_after_pass({0, 0.05}, {0.1, 1}));
}

}  // namespace
}  // namespace thistlefront
