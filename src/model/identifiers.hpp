// Dense indices for jobs, nodes and other named entities, and maps from names to indices.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace thistlefront {

/// A dense index; the tag makes indices of jobs, nodes etc. distinct types. UINT32_MAX is the invalid index.
template <class Tag>
struct Index {
  std::uint32_t value = UINT32_MAX;
  [[nodiscard]] bool valid() const { return value != UINT32_MAX; }
  friend bool operator==(Index, Index) = default;
  friend auto operator<=>(Index, Index) = default;
};
using JobIndex = Index<struct JobTag>;
using NodeIndex = Index<struct NodeTag>;
using TeamIndex = Index<struct TeamTag>;
using MachineTypeIndex = Index<struct MachineTypeTag>;
using ZoneIndex = Index<struct ZoneTag>;
using ImageIndex = Index<struct ImageTag>;
using JobClassIndex = Index<struct ClassTag>;

/// Transparent hash: maps can look up a std::string_view without copying it.
struct NameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view name) const noexcept { return std::hash<std::string_view>{}(name); }
};
/// A map keyed by name; lookups do not copy the name.
template <class Value>
using NameMap = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

/// Assigns dense indices to names, in order of first use. Indices stay valid for the lifetime of the interner.
template <class Idx>
class Interner {
 public:
  /// Returns the index of a name; adds the name if it is new.
  Idx intern(std::string_view name) {
    auto it = index_.find(name);
    if (it != index_.end()) return it->second;
    Idx idx{static_cast<std::uint32_t>(names_.size())};
    names_.emplace_back(name);
    index_.emplace(names_.back(), idx);
    return idx;
  }
  /// Returns the index of a name, or an invalid index if the name was never added.
  [[nodiscard]] Idx find(std::string_view name) const {
    auto it = index_.find(name);
    return it == index_.end() ? Idx{} : it->second;
  }
  /// Returns the name of a valid index.
  [[nodiscard]] const std::string& name(Idx idx) const { return names_[idx.value]; }
  /// Number of names; valid indices are below it.
  [[nodiscard]] std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  NameMap<Idx> index_;
};

}  // namespace thistlefront

/// Lets indices be keys of unordered containers.
template <class Tag>
struct std::hash<thistlefront::Index<Tag>> {
  std::size_t operator()(thistlefront::Index<Tag> i) const noexcept { return i.value; }
};
