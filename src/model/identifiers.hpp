// Dense indices for jobs, nodes and the rest, and the maps from names to them.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace thistlefront {

// A dense index; the tag keeps jobs, hosts and the rest apart.
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

// A map by name in which a name is looked up without a copy of it.
struct NameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view name) const noexcept { return std::hash<std::string_view>{}(name); }
};
template <class Value>
using NameMap = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

// Maps names to dense indices at the door.
template <class Idx>
class Interner {
 public:
  Idx intern(std::string_view name) {
    auto it = index_.find(name);
    if (it != index_.end()) return it->second;
    Idx idx{static_cast<std::uint32_t>(names_.size())};
    names_.emplace_back(name);
    index_.emplace(names_.back(), idx);
    return idx;
  }
  [[nodiscard]] Idx find(std::string_view name) const {
    auto it = index_.find(name);
    return it == index_.end() ? Idx{} : it->second;
  }
  [[nodiscard]] const std::string& name(Idx idx) const { return names_[idx.value]; }
  [[nodiscard]] std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  NameMap<Idx> index_;
};

}  // namespace thistlefront

template <class Tag>
struct std::hash<thistlefront::Index<Tag>> {
  std::size_t operator()(thistlefront::Index<Tag> i) const noexcept { return i.value; }
};
