// Bound on clock drift, used to compute when leases have expired.
#pragma once

namespace thistlefront {

/// Maximum assumed drift between the steady clocks of two machines, as a fraction; actual drift is well below it.
inline constexpr double kClockDrift = 0.001;

}  // namespace thistlefront
