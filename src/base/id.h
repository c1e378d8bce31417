// Typed ids of objects, and a table that assigns ids to names.

#ifndef BLUEBELLSTEP_BASE_ID_H_
#define BLUEBELLSTEP_BASE_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bluebellstep {

/** Id of an object of kind `Tag`. Ids of different kinds cannot be converted into each other. */
template <typename Tag, typename Value = std::uint32_t>
struct Id {
  Value value = 0;

  constexpr auto operator<=>(const Id&) const = default;
};

using AccountId = Id<struct AccountTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ZoneId = Id<struct ZoneTag>;
using ModelId = Id<struct ModelTag>;
using ServiceId = Id<struct ServiceTag>;

/** Id of a request, unique within one process. */
using RequestId = Id<struct RequestTag, std::uint64_t>;

/** Hash for looking up `std::string` keys by `std::string_view`. */
struct StringHash {
  using is_transparent = void;

  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

/** Assigns consecutive ids, starting at 0, to names. The id of a name stays the same for the
 * lifetime of the table; names are never removed. */
template <typename IdType>
class NameTable {
 public:
  /** Returns the id of `name`. A new name is added. */
  IdType intern(std::string_view name) {
    if (const auto found = ids_.find(name); found != ids_.end()) {
      return found->second;
    }
    const IdType id{static_cast<decltype(IdType::value)>(names_.size())};
    names_.emplace_back(name);
    ids_.emplace(std::string(name), id);
    return id;
  }

  /** Returns the id of `name`, or nothing if the table does not contain it. */
  std::optional<IdType> find(std::string_view name) const {
    const auto found = ids_.find(name);
    return found == ids_.end() ? std::nullopt : std::optional(found->second);
  }

  /** Returns the name of `id`, which must come from this table. */
  const std::string& name(IdType id) const { return names_.at(id.value); }

  std::size_t size() const { return names_.size(); }

 private:
  // ids_[names_[i]] == i for every i.
  std::vector<std::string> names_;
  std::unordered_map<std::string, IdType, StringHash, std::equal_to<>> ids_;
};

}  // namespace bluebellstep

template <typename Tag, typename Value>
struct std::hash<bluebellstep::Id<Tag, Value>> {
  std::size_t operator()(bluebellstep::Id<Tag, Value> id) const {
    return std::hash<Value>{}(id.value);
  }
};

#endif  // BLUEBELLSTEP_BASE_ID_H_
