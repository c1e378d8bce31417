// Typed reading of a YAML document that collects every error instead of stopping at the first, so
// that an operator can correct a file in one pass.

#ifndef BLUEBELLSTEP_SETTINGS_SETTINGS_READER_H_
#define BLUEBELLSTEP_SETTINGS_SETTINGS_READER_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "http/http_types.h"
#include "settings/yaml_tree.h"

namespace bluebellstep {

/** One mistake in a settings file or bundle. */
struct SettingsError {
  std::string file;
  int line = 0;       // From 1; 0 if the whole file is meant.
  std::string key;    // Path such as "upstreams[3].zone"; empty for the whole document.
  std::string found;  // As written, shortened.
  std::string expected;

  /** `file:line: key: found X, expected Y`. */
  std::string to_string() const;
};

/** All mistakes of one document; the LEAF error object of the functions that read settings. */
struct SettingsErrors {
  std::vector<SettingsError> errors;

  /** One line for each error. */
  std::string to_string() const;
};

/** Whether a key must be there. */
enum class Presence { kRequired, kOptional };

/** Smallest and largest number allowed, both included. */
struct NumberRange {
  std::uint64_t least = 0;
  std::uint64_t most = std::numeric_limits<std::uint64_t>::max();
};

/** Reads `500ms`, `2s`, `5m` or `1h`; nothing for anything else. */
std::optional<Duration> parse_duration(std::string_view text);

/** Reads `512`, `64KB`, `64MB` or `2GB` (powers of 1,024) as bytes; nothing for anything else. */
std::optional<std::uint64_t> parse_size(std::string_view text);

/** Reads `10.0.0.1:8080` or `[::1]:8080`; nothing for anything else. */
std::optional<Endpoint> parse_endpoint(std::string_view text);

/**
 * Reader of one document. Take `root`, read every known key, then call `finish`. Reading leaves the
 * target unchanged when the key is absent or its value is wrong.
 */
class SettingsReader {
 public:
  /** A mapping of the document. Valid as long as the reader; cheap to copy. */
  class Section {
   public:
    /** Reads a text that is not empty. */
    void read(std::string_view key, std::string& out, Presence presence = Presence::kRequired);
    void read(std::string_view key, bool& out, Presence presence = Presence::kRequired);
    void read(std::string_view key, Duration& out, Presence presence = Presence::kRequired);
    void read(std::string_view key, Endpoint& out, Presence presence = Presence::kRequired);
    void read(std::string_view key, double& out, Presence presence = Presence::kRequired);
    void read(std::string_view key,
              std::uint64_t& out,
              Presence presence = Presence::kRequired,
              NumberRange range = {});
    void read(std::string_view key,
              std::uint32_t& out,
              Presence presence = Presence::kRequired,
              NumberRange range = {});

    /** Reads a number of bytes, see `parse_size`. */
    void read_size(std::string_view key,
                   std::uint64_t& out,
                   Presence presence = Presence::kRequired,
                   NumberRange range = {});

    /** Reads one of the named values. */
    template <typename Value>
    void read_choice(std::string_view key,
                     Value& out,
                     const std::vector<std::pair<std::string_view, Value>>& choices,
                     Presence presence = Presence::kRequired) {
      std::string text;
      read(key, text, presence);
      if (text.empty()) {
        return;
      }
      std::string expected = "one of";
      for (const auto& [name, value] : choices) {
        if (name == text) {
          out = value;
          return;
        }
        expected.append(" ").append(name);
      }
      add_error(key, expected);
    }

    /** Reads a list of texts. */
    void read(std::string_view key,
              std::vector<std::string>& out,
              Presence presence = Presence::kRequired);

    /** Reads a list of endpoints. */
    void read(std::string_view key,
              std::vector<Endpoint>& out,
              Presence presence = Presence::kRequired);

    /** Reads a mapping of freely chosen names to texts. */
    std::vector<std::pair<std::string, std::string>> read_string_map(
        std::string_view key,
        Presence presence = Presence::kRequired);

    /** Returns the mapping at `key`, or nothing if it is absent or not a mapping. */
    std::optional<Section> section(std::string_view key, Presence presence = Presence::kRequired);

    /** Returns the mappings in the list at `key`; elements of another kind are errors. */
    std::vector<Section> sections(std::string_view key, Presence presence = Presence::kRequired);

    /** Reports that the value at `key`, which was read, breaks a rule. */
    void add_error(std::string_view key, std::string_view expected);

    /** Reports that the part `found` of the value at `key` breaks a rule. */
    void add_error(std::string_view key, std::string_view found, std::string_view expected);

   private:
    friend class SettingsReader;
    Section(SettingsReader& reader, YamlNodeId node, std::string path)
        : reader_(&reader), node_(node), path_(std::move(path)) {}

    std::optional<YamlNodeId> find(std::string_view key, Presence presence);
    std::optional<std::string_view> scalar(std::string_view key,
                                           Presence presence,
                                           std::string_view expected);
    std::string path_of(std::string_view key) const;

    SettingsReader* reader_;
    YamlNodeId node_;
    std::string path_;
  };

  /** Parses `text`; `file` is the name to use in errors. */
  SettingsReader(std::string_view file, std::string_view text);
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /** The document itself, which must be a mapping. */
  Section root();

  /** Adds an error for each key that was never asked for and each duplicate, and returns all
   * errors in the order of their lines. */
  SettingsErrors finish();

  /** Whether any error was found so far. */
  bool failed() const { return !errors_.errors.empty(); }

 private:
  void add_error(int line, std::string key, std::string_view found, std::string_view expected);
  void check_members(YamlNodeId node, const std::string& path);
  std::string describe(YamlNodeId node) const;

  std::string file_;
  YamlTree tree_;
  SettingsErrors errors_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_SETTINGS_READER_H_
