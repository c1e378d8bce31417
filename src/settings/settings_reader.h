// Reads typed values from a YAML document. Collects all errors instead of stopping at the first, so
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

/** One error in a settings file or bundle. */
struct SettingsError {
  std::string file;
  int line = 0;       // Starting at 1; 0 if the error concerns the whole file.
  std::string key;    // Path such as "upstreams[3].zone"; empty for the whole document.
  std::string found;  // The wrong value, shortened, or a description of it.
  std::string expected;

  /** Returns `file:line: key: found X, expected Y`. */
  std::string to_string() const;
};

/** All errors of one document. It is the LEAF error object of the functions that read settings. */
struct SettingsErrors {
  std::vector<SettingsError> errors;

  /** Returns one line for each error. */
  std::string to_string() const;
};

/** Whether a key must be present. */
enum class Presence { kRequired, kOptional };

/** Smallest and largest allowed number, both inclusive. */
struct NumberRange {
  std::uint64_t minimum = 0;
  std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max();
};

/** Parses a duration such as `500ms`, `2s`, `5m` or `1h`. Returns nothing for any other form. */
std::optional<Duration> parse_duration(std::string_view text);

/** Parses a size such as `512`, `64KB`, `64MB` or `2GB` (powers of 1,024) and returns it in bytes,
 * or nothing for any other form. */
std::optional<std::uint64_t> parse_size(std::string_view text);

/** Parses an endpoint such as `10.0.0.1:8080` or `[::1]:8080`; returns nothing for other forms. */
std::optional<Endpoint> parse_endpoint(std::string_view text);

/**
 * Reads one document. Call `root`, read every known key, then call `finish`. A read function leaves
 * its target unchanged if the key is absent or the value is wrong.
 */
class SettingsReader {
 public:
  /** A mapping in the document. Valid for the lifetime of the reader; cheap to copy. */
  class Section {
   public:
    /** Reads a non-empty string. */
    void read(std::string_view key, std::string& out, Presence presence = Presence::kRequired);

    /** Reads `true` or `false`. */
    void read(std::string_view key, bool& out, Presence presence = Presence::kRequired);

    /** Reads a duration, see `parse_duration`. */
    void read(std::string_view key, Duration& out, Presence presence = Presence::kRequired);

    /** Reads an IP address and port, see `parse_endpoint`. */
    void read(std::string_view key, Endpoint& out, Presence presence = Presence::kRequired);

    /** Reads a finite decimal number. */
    void read(std::string_view key, double& out, Presence presence = Presence::kRequired);

    /** Reads a non-negative whole number in `range`. */
    void read(std::string_view key,
              std::uint64_t& out,
              Presence presence = Presence::kRequired,
              NumberRange range = {});

    /** Reads a non-negative whole number in `range` of at most 32 bits. */
    void read(std::string_view key,
              std::uint32_t& out,
              Presence presence = Presence::kRequired,
              NumberRange range = {});

    /** Reads a size and stores it in bytes, see `parse_size`. */
    void read_size(std::string_view key,
                   std::uint64_t& out,
                   Presence presence = Presence::kRequired,
                   NumberRange range = {});

    /** Reads one of the names in `choices` and stores its value. */
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

    /** Reads a list of non-empty strings. Wrong elements are errors and are skipped. */
    void read(std::string_view key,
              std::vector<std::string>& out,
              Presence presence = Presence::kRequired);

    /** Reads a list of endpoints and appends them to `out`. */
    void read(std::string_view key,
              std::vector<Endpoint>& out,
              Presence presence = Presence::kRequired);

    /** Reads a mapping with arbitrary keys. Returns its keys and string values, sorted by key. A
     * value of another kind is an error and is returned as an empty string. */
    std::vector<std::pair<std::string, std::string>> read_string_map(
        std::string_view key,
        Presence presence = Presence::kRequired);

    /** Returns the mapping at `key`, or nothing if it is absent or not a mapping. */
    std::optional<Section> section(std::string_view key, Presence presence = Presence::kRequired);

    /** Returns the mappings in the list at `key`; other elements are errors. */
    std::vector<Section> sections(std::string_view key, Presence presence = Presence::kRequired);

    /** Adds an error for the value at `key`, for example because it violates a rule between
     * settings. */
    void add_error(std::string_view key, std::string_view expected);

    /** Adds an error for `found`, a part of the value at `key`. */
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

  /** Parses `text`. `file` is the file name for errors. */
  SettingsReader(std::string_view file, std::string_view text);
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /** Returns the top level of the document, which must be a mapping. */
  Section root();

  /** Adds an error for each unknown key (one that was not read) and each duplicate key, and returns
   * all errors, ordered by line. */
  SettingsErrors finish();

  /** Returns whether any error was found so far. */
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
