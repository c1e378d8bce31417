// A parsed YAML document, stored as a flat tree with the line of each node.
//
// The tree is built from parser events instead of yaml-cpp nodes for three reasons: it keeps line
// numbers and duplicate keys, it rejects aliases (with nested aliases a short text can expand to a
// document of any size), and it limits the depth.

#ifndef BLUEBELLSTEP_SETTINGS_YAML_TREE_H_
#define BLUEBELLSTEP_SETTINGS_YAML_TREE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/id.h"

namespace bluebellstep {

using YamlNodeId = Id<struct YamlNodeTag>;

/** One node of a YAML document. */
struct YamlNode {
  enum class Kind : std::uint8_t { kNull, kScalar, kSequence, kMapping };

  /** A key of a mapping and its value. Keys are always scalars. */
  struct Member {
    std::string key;
    int line = 0;
    YamlNodeId value;
    bool read = false;  // Whether a reader has read the key, see `SettingsReader::finish`.
  };

  Kind kind = Kind::kNull;
  int line = 0;                      // Starting at 1.
  std::string text;                  // Of a scalar.
  std::vector<YamlNodeId> elements;  // Of a sequence.
  std::vector<Member> members;       // Of a mapping, in document order, including duplicates.
};

/** Why a text is not a supported YAML document. */
struct YamlSyntaxError {
  int line = 0;
  std::string detail;
};

/** All nodes of one document. */
class YamlTree {
 public:
  /** Maximum nesting depth. The deepest document of the system has 6 levels. */
  static constexpr std::size_t kMaxDepth = 16;

  /** Parses `text`, which must be one document. Check `syntax_error` before using the nodes. */
  explicit YamlTree(std::string_view text);

  /** Set if the text could not be parsed. */
  const std::optional<YamlSyntaxError>& syntax_error() const { return syntax_error_; }

  YamlNodeId root() const { return {0}; }
  const YamlNode& node(YamlNodeId id) const { return nodes_.at(id.value); }
  YamlNode& node(YamlNodeId id) { return nodes_.at(id.value); }

 private:
  class Builder;

  // nodes_[0] is the root; there is always one.
  std::vector<YamlNode> nodes_;
  std::optional<YamlSyntaxError> syntax_error_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_YAML_TREE_H_
