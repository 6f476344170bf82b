// Histograms for the operator's metrics.
#pragma once
#include <boost/histogram.hpp>
#include <string>
#include <vector>

namespace thistlefront {

// A histogram of seconds. Each bucket's upper edge is twice that of the one before.
class SecondsHistogram {
 public:
  void add(double seconds) {
    counts_(seconds);
    sum_ += seconds;
  }
  // Appends the lines in the text format of /metrics; `label` is empty or of the form class="visor".
  void print(std::string& out, const std::string& name, const std::string& label) const;

 private:
  using Axis = boost::histogram::axis::variable<>;
  using Counts = decltype(boost::histogram::make_histogram(Axis{0.0, 1.0}));
  static Axis axis();
  Counts counts_ = boost::histogram::make_histogram(axis());
  double sum_ = 0;
};

}  // namespace thistlefront
