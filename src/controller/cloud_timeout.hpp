// The time-out of a request to the cloud.
#pragma once

namespace thistlefront {

inline constexpr double kCloudTimeoutS = 5.0;

}  // namespace thistlefront
