// Dense indices for jobs, nodes and the rest, and the maps from names to them.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace thistlefront {

/// A dense index; the tag keeps jobs, nodes and the rest apart. It is made by an Interner, and UINT32_MAX is none.
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

/// Hash of names that lets a map find a std::string_view without a copy of it.
struct NameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view name) const noexcept { return std::hash<std::string_view>{}(name); }
};
/// A map by name; lookups copy no name.
template <class Value>
using NameMap = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

/// Gives names dense indices, in the order in which they are first seen. Indices stay valid for its lifetime.
template <class Idx>
class Interner {
 public:
  /// The index of a name, which is added if it is new.
  Idx intern(std::string_view name) {
    auto it = index_.find(name);
    if (it != index_.end()) return it->second;
    Idx idx{static_cast<std::uint32_t>(names_.size())};
    names_.emplace_back(name);
    index_.emplace(names_.back(), idx);
    return idx;
  }
  /// The index of a name; invalid if it was never added.
  [[nodiscard]] Idx find(std::string_view name) const {
    auto it = index_.find(name);
    return it == index_.end() ? Idx{} : it->second;
  }
  /// The name of a valid index.
  [[nodiscard]] const std::string& name(Idx idx) const { return names_[idx.value]; }
  /// How many names there are; indices run from 0 to one below it.
  [[nodiscard]] std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  NameMap<Idx> index_;
};

}  // namespace thistlefront

/// Indices as keys of unordered containers.
template <class Tag>
struct std::hash<thistlefront::Index<Tag>> {
  std::size_t operator()(thistlefront::Index<Tag> i) const noexcept { return i.value; }
};
