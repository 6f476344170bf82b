// The bound on the divergence of clocks that lease arithmetic relies on.
#pragma once

namespace thistlefront {

// Steady clocks of different machines diverge by at most this share, with some to spare.
inline constexpr double kClockDrift = 0.001;

}  // namespace thistlefront
