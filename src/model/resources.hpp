// Amounts of CPU cores, accelerators and memory.
#pragma once

namespace thistlefront {

/// Amounts of each kind of resource; arithmetic is per kind.
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
  /// Whether this amount fits into `available`. The slack absorbs rounding errors in sums of decimals.
  [[nodiscard]] bool fits(const Resources& available) const {
    constexpr double kSlack = 1e-6;
    return cores <= available.cores + kSlack && accelerators <= available.accelerators + kSlack && ram_gb <= available.ram_gb + kSlack;
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};

}  // namespace thistlefront
