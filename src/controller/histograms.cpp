#include "controller/histograms.hpp"

#include <sstream>

namespace thistlefront {

namespace {
constexpr double kShortest = 0.01;
constexpr int kBuckets = 17;  // up to some eleven minutes
}  // namespace

SecondsHistogram::Axis SecondsHistogram::axis() {
  std::vector<double> edges{0};
  for (int i = 0; i < kBuckets; ++i) edges.push_back(kShortest * static_cast<double>(1 << i));
  return Axis(edges);
}

void SecondsHistogram::print(std::string& out, const std::string& name, const std::string& label) const {
  const std::string more = label.empty() ? "" : label + ",";
  std::ostringstream text;
  double below = 0;
  for (auto&& bin : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
    below += static_cast<double>(*bin);
    // The first one counts what is below 0, of which there is none but for steps of the clock.
    if (bin.index() < 0) continue;
    text << name << "_bucket{" << more << "le=\"";
    if (bin.index() >= kBuckets) {
      text << "+Inf";
    } else {
      text << bin.bin().upper();
    }
    text << "\"} " << below << "\n";
  }
  const std::string of = label.empty() ? "" : "{" + label + "}";
  text << name << "_sum" << of << " " << sum_ << "\n" << name << "_count" << of << " " << below << "\n";
  out += text.str();
}

}  // namespace thistlefront
