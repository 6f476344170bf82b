// The bound on the divergence of clocks that lease arithmetic relies on.
#pragma once

namespace thistlefront {

/// The largest share by which the steady clocks of two machines are assumed to diverge; real ones stay well below it.
inline constexpr double kClockDrift = 0.001;

}  // namespace thistlefront
