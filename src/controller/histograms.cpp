#include "controller/histograms.hpp"

#include <sstream>

namespace thistlefront {

namespace {
constexpr double kFirstEdgeS = 0.01;
constexpr int kBuckets = 17;  // the last finite edge is about eleven minutes
}  // namespace

SecondsHistogram::Axis SecondsHistogram::axis() {
  std::vector<double> edges{0};
  for (int i = 0; i < kBuckets; ++i) edges.push_back(kFirstEdgeS * static_cast<double>(1 << i));
  return Axis(edges);
}

void SecondsHistogram::print(std::string& out, const std::string& name, const std::string& label) const {
  const std::string label_prefix = label.empty() ? "" : label + ",";
  std::ostringstream text;
  double cumulative = 0;
  for (auto&& bin : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
    cumulative += static_cast<double>(*bin);
    // The underflow bin has no line of its own; values below 0 come only from steps of the clock.
    if (bin.index() < 0) continue;
    text << name << "_bucket{" << label_prefix << "le=\"";
    if (bin.index() >= kBuckets) {
      text << "+Inf";
    } else {
      text << bin.bin().upper();
    }
    text << "\"} " << cumulative << "\n";
  }
  const std::string label_set = label.empty() ? "" : "{" + label + "}";
  text << name << "_sum" << label_set << " " << sum_ << "\n" << name << "_count" << label_set << " " << cumulative << "\n";
  out += text.str();
}

}  // namespace thistlefront
