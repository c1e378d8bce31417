// Builds the tree from the events of yaml-cpp's parser.

#include "settings/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <sstream>
#include <stdexcept>

namespace bluebellstep {
namespace {

/** Thrown to stop the parser at an unsupported construct. */
struct UnsupportedYaml : std::runtime_error {
  UnsupportedYaml(const YAML::Mark& mark, const std::string& text)
      : std::runtime_error(text), line(mark.line + 1) {}
  int line;
};

}  // namespace

class YamlTree::Builder : public YAML::EventHandler {
 public:
  explicit Builder(std::vector<YamlNode>& nodes) : nodes_(nodes) {}

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    add(YamlNode::Kind::kNull, mark, anchor, "");
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    throw UnsupportedYaml(mark, "aliases are not supported");
  }

  void OnScalar(const YAML::Mark& mark,
                const std::string&,
                YAML::anchor_t anchor,
                const std::string& value) override {
    add(YamlNode::Kind::kScalar, mark, anchor, value);
  }

  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string&,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    open_collection(YamlNode::Kind::kSequence, mark, anchor);
  }

  void OnMapStart(const YAML::Mark& mark,
                  const std::string&,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value) override {
    open_collection(YamlNode::Kind::kMapping, mark, anchor);
  }

  void OnSequenceEnd() override { open_collections_.pop_back(); }
  void OnMapEnd() override { open_collections_.pop_back(); }

 private:
  struct OpenCollection {
    YamlNodeId node;
    bool key_read = false;  // Mappings: the key of the last member was read, but not its value.
  };

  void open_collection(YamlNode::Kind kind, const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (open_collections_.size() == kMaxDepth) {
      throw UnsupportedYaml(mark, "nested too deeply");
    }
    open_collections_.push_back({add(kind, mark, anchor, "")});
  }

  // Adds a node to the innermost open collection. The scalar at the position of a key becomes a
  // member without a value, and the id of its mapping is returned.
  YamlNodeId add(YamlNode::Kind kind,
                 const YAML::Mark& mark,
                 YAML::anchor_t anchor,
                 const std::string& text) {
    if (anchor != 0) {
      throw UnsupportedYaml(mark, "anchors are not supported");
    }
    if (!open_collections_.empty() &&
        nodes_[open_collections_.back().node.value].kind == YamlNode::Kind::kMapping &&
        !open_collections_.back().key_read) {
      return add_key(kind, mark, text);
    }
    const YamlNodeId id{static_cast<std::uint32_t>(nodes_.size())};
    nodes_.push_back({kind, mark.line + 1, text, {}, {}});
    if (!open_collections_.empty()) {
      attach(id);
    }
    return id;
  }

  YamlNodeId add_key(YamlNode::Kind kind, const YAML::Mark& mark, const std::string& text) {
    if (kind != YamlNode::Kind::kScalar) {
      throw UnsupportedYaml(mark, "a key must be a string");
    }
    const YamlNodeId mapping = open_collections_.back().node;
    nodes_[mapping.value].members.push_back({text, mark.line + 1, {}, false});
    open_collections_.back().key_read = true;
    return mapping;
  }

  // Makes the node `id` the next element or value of the innermost open collection.
  void attach(YamlNodeId id) {
    YamlNode& parent = nodes_[open_collections_.back().node.value];
    if (parent.kind == YamlNode::Kind::kSequence) {
      parent.elements.push_back(id);
      return;
    }
    parent.members.back().value = id;
    open_collections_.back().key_read = false;
  }

  std::vector<YamlNode>& nodes_;
  std::vector<OpenCollection> open_collections_;
};

YamlTree::YamlTree(std::string_view text) {
  try {
    std::istringstream input{std::string(text)};
    YAML::Parser parser(input);
    Builder builder(nodes_);
    parser.HandleNextDocument(builder);
    std::vector<YamlNode> second_document;
    Builder second_builder(second_document);
    if (parser.HandleNextDocument(second_builder)) {
      syntax_error_ = {second_document.empty() ? 0 : second_document.front().line,
                       "more than one document"};
    }
  } catch (const UnsupportedYaml& unsupported) {
    syntax_error_ = {unsupported.line, unsupported.what()};
  } catch (const YAML::Exception& error) {
    syntax_error_ = {error.mark.line + 1, error.msg};
  }
  if (nodes_.empty()) {
    nodes_.emplace_back();
    nodes_.front().line = 1;
  }
}

}  // namespace bluebellstep
