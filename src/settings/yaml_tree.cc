// Builds the tree from the events of yaml-cpp's parser.

#include "settings/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <sstream>
#include <stdexcept>

namespace bluebellstep {
namespace {

/** Ends the parse at a construct that we refuse. */
struct Refused : std::runtime_error {
  Refused(const YAML::Mark& mark, const std::string& text)
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
    throw Refused(mark, "aliases are not supported");
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
    open(YamlNode::Kind::kSequence, mark, anchor);
  }

  void OnMapStart(const YAML::Mark& mark,
                  const std::string&,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value) override {
    open(YamlNode::Kind::kMapping, mark, anchor);
  }

  void OnSequenceEnd() override { open_.pop_back(); }
  void OnMapEnd() override { open_.pop_back(); }

 private:
  struct Open {
    YamlNodeId node;
    bool key_read = false;  // Mappings: the last member has its key and waits for its value.
  };

  void open(YamlNode::Kind kind, const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (open_.size() == kMaxDepth) {
      throw Refused(mark, "nested too deeply");
    }
    open_.push_back({add(kind, mark, anchor, "")});
  }

  YamlNodeId add(YamlNode::Kind kind,
                 const YAML::Mark& mark,
                 YAML::anchor_t anchor,
                 const std::string& text) {
    if (anchor != 0) {
      throw Refused(mark, "anchors are not supported");
    }
    if (!open_.empty() && nodes_[open_.back().node.value].kind == YamlNode::Kind::kMapping &&
        !open_.back().key_read) {
      return add_key(kind, mark, text);
    }
    const YamlNodeId id{static_cast<std::uint32_t>(nodes_.size())};
    nodes_.push_back({kind, mark.line + 1, text, {}, {}});
    if (!open_.empty()) {
      attach(id);
    }
    return id;
  }

  YamlNodeId add_key(YamlNode::Kind kind, const YAML::Mark& mark, const std::string& text) {
    if (kind != YamlNode::Kind::kScalar) {
      throw Refused(mark, "a key must be a plain text");
    }
    const YamlNodeId mapping = open_.back().node;
    nodes_[mapping.value].members.push_back({text, mark.line + 1, {}, false});
    open_.back().key_read = true;
    return mapping;
  }

  void attach(YamlNodeId id) {
    YamlNode& parent = nodes_[open_.back().node.value];
    if (parent.kind == YamlNode::Kind::kSequence) {
      parent.elements.push_back(id);
      return;
    }
    parent.members.back().value = id;
    open_.back().key_read = false;
  }

  std::vector<YamlNode>& nodes_;
  std::vector<Open> open_;
};

YamlTree::YamlTree(std::string_view text) {
  try {
    std::istringstream input{std::string(text)};
    YAML::Parser parser(input);
    Builder builder(nodes_);
    parser.HandleNextDocument(builder);
    std::vector<YamlNode> rest;
    Builder rest_builder(rest);
    if (parser.HandleNextDocument(rest_builder)) {
      syntax_error_ = {rest.empty() ? 0 : rest.front().line, "more than one document"};
    }
  } catch (const Refused& refused) {
    syntax_error_ = {refused.line, refused.what()};
  } catch (const YAML::Exception& error) {
    syntax_error_ = {error.mark.line + 1, error.msg};
  }
  if (nodes_.empty()) {
    nodes_.emplace_back();
    nodes_.front().line = 1;
  }
}

}  // namespace bluebellstep
