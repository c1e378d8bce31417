// Bundle commands that need the platform: propose, sign-off, roll-out and status.

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "base/ed25519.h"
#include "base/json_text.h"
#include "base/overloaded.h"
#include "bundle/bundle_parser.h"
#include "bundle/bundle_signer.h"
#include "cli/command_context.h"
#include "settings/operator_settings.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kCurrentKey = "bundle/current";
constexpr std::string_view kProposedPrefix = "bundle/proposed-";
constexpr std::string_view kStatusPrefix = "status/";

// Maximum age of the last report of an order owner when the order tables change. An owner that
// reported within this time is considered connected, so that it receives the new bundle.
constexpr Duration kMaxOwnerReportAge = {10'000};

// Report times may be this far in the future: twice the 1 s by which the clocks of machines are
// assumed to differ.
constexpr Duration kMaxClockSkew = {2000};

struct Options {
  std::string settings;
  std::string file;
  std::uint64_t generation = 0;
  std::string operator_name;
  std::string key;
  std::string digest;
  std::vector<std::string> confirmed_terminated;
};

/** Last report of a process, from its object `status/<name>`. */
struct ProcessStatus {
  std::string name;
  std::uint64_t generation = 0;
  Instant reported_at;
};

std::optional<ProcessStatus> parse_status(const PlatformObject& object) {
  const auto json = parse_json(object.value);
  if (!json.is_object() || !json.contains("generation") || !json.contains("at_ms") ||
      !json["generation"].is_number_unsigned() || !json["at_ms"].is_number_integer()) {
    return std::nullopt;
  }
  return ProcessStatus{object.key.substr(kStatusPrefix.size()), json["generation"],
                       Instant{json["at_ms"].get<std::int64_t>()}};
}

/** Executes one command with the platform. */
class BundlePlatformCommand {
 public:
  BundlePlatformCommand(CommandContext& context, const OperatorSettings& settings)
      : context_(context),
        signer_(settings.operator_keys),
        objects_(context.make_object_client(settings.platform)) {}

  boost::leaf::result<ExitCode> propose(const Options& options) {
    BOOST_LEAF_AUTO(document, read_settings_file(options.file));
    BOOST_LEAF_AUTO(proposed,
                    signer_.open(options.file, document, SignOffRequirement::kNotRequired));
    BOOST_LEAF_AUTO(current, read(kCurrentKey));
    BOOST_LEAF_CHECK(check_successor(current, proposed.bundle));
    return write_document(proposed_key(proposed.bundle.generation), {}, document, "proposed");
  }

  boost::leaf::result<ExitCode> sign_off(const Options& options) {
    BOOST_LEAF_AUTO(key, read_key_file(options.key));
    BOOST_LEAF_AUTO(object, read_proposed(options.generation));
    BOOST_LEAF_AUTO(proposed,
                    signer_.open(object.key, object.value, SignOffRequirement::kNotRequired));
    const std::string digest = sha256_hex(proposed.text);
    // The operator signs off the contents that they reviewed. The stored ones may have changed
    // since.
    if (digest != options.digest) {
      context_.err << "ours:   digest " << options.digest << "\n";
      print_bundle_object("theirs", object);
      return ExitCode::kConflict;
    }
    BOOST_LEAF_AUTO(document,
                    signer_.sign_off(object.key, object.value, options.operator_name, key));
    return write_document(object.key, object.version, document, "signed off");
  }

  boost::leaf::result<ExitCode> roll_out(const Options& options) {
    BOOST_LEAF_AUTO(object, read_proposed(options.generation));
    BOOST_LEAF_AUTO(proposed, signer_.open(object.key, object.value));
    BOOST_LEAF_AUTO(current, read(kCurrentKey));
    if (current && current->value == object.value) {
      context_.out << "generation " << options.generation << " is already rolled out\n";
      return ExitCode::kSuccess;
    }
    BOOST_LEAF_CHECK(check_successor(current, proposed.bundle));
    if (current) {
      BOOST_LEAF_AUTO(previous, signer_.open(current->key, current->value));
      BOOST_LEAF_CHECK(check_owners(previous.bundle, proposed.bundle, options));
    }
    const StoreRevision expected = current ? current->version : StoreRevision{};
    return write_document(std::string(kCurrentKey), expected, object.value, "rolled out");
  }

  boost::leaf::result<ExitCode> status() {
    BOOST_LEAF_AUTO(current, read(kCurrentKey));
    BOOST_LEAF_AUTO(proposals, list(kProposedPrefix));
    BOOST_LEAF_AUTO(reports, list(kStatusPrefix));
    std::uint64_t generation = 0;
    if (current) {
      print_bundle_object("current", *current, context_.out);
      generation = generation_of(*current);
    } else {
      context_.out << "current: none\n";
    }
    for (const PlatformObject& proposal : proposals) {
      if (generation_of(proposal) > generation) {
        print_bundle_object("proposed", proposal, context_.out);
      }
    }
    print_reports(reports, generation);
    return ExitCode::kSuccess;
  }

 private:
  static std::string proposed_key(std::uint64_t generation) {
    return std::string(kProposedPrefix) + std::to_string(generation);
  }

  boost::leaf::result<std::optional<PlatformObject>> read(std::string_view key) {
    auto result = objects_.read(key);
    if (auto* unavailable = std::get_if<PlatformUnavailable>(&result)) {
      return boost::leaf::new_error(std::move(*unavailable));
    }
    return std::get<std::optional<PlatformObject>>(std::move(result));
  }

  boost::leaf::result<std::vector<PlatformObject>> list(std::string_view prefix) {
    auto result = objects_.list(prefix);
    if (auto* unavailable = std::get_if<PlatformUnavailable>(&result)) {
      return boost::leaf::new_error(std::move(*unavailable));
    }
    return std::get<std::vector<PlatformObject>>(std::move(result));
  }

  boost::leaf::result<PlatformObject> read_proposed(std::uint64_t generation) {
    BOOST_LEAF_AUTO(object, read(proposed_key(generation)));
    if (!object) {
      return boost::leaf::new_error(CommandFailure{
          ExitCode::kBadInput, "no bundle of generation " + std::to_string(generation) +
                                   " is proposed; see bundle status"});
    }
    return *std::move(object);
  }

  boost::leaf::result<void> check_successor(const std::optional<PlatformObject>& current,
                                            const Bundle& next) {
    if (!current) {
      return {};
    }
    BOOST_LEAF_AUTO(previous, signer_.open(current->key, current->value));
    return BundleParser("proposed bundle")
        .check_succession(previous.bundle, next, context_.clock.wall());
  }

  // Refuses a change of the order tables if an owner may be disconnected: it would not receive the
  // new tables and would continue to execute orders by the old ones. So each owner must have
  // reported recently, or the operator must confirm that it is terminated.
  boost::leaf::result<void> check_owners(const Bundle& previous,
                                         const Bundle& next,
                                         const Options& options) {
    if (!order_tables_differ(previous, next)) {
      return {};
    }
    const Instant now = context_.clock.wall();
    std::string missing;
    for (const std::string& owner : current_and_future_owners(previous, now)) {
      const auto& confirmed = options.confirmed_terminated;
      if (std::find(confirmed.begin(), confirmed.end(), owner) != confirmed.end()) {
        continue;
      }
      BOOST_LEAF_AUTO(object, read(std::string(kStatusPrefix) + owner));
      const auto report = object ? parse_status(*object) : std::nullopt;
      if (!report || now - report->reported_at > kMaxOwnerReportAge ||
          report->reported_at > now + kMaxClockSkew) {
        missing += " " + owner;
      }
    }
    if (!missing.empty()) {
      return boost::leaf::new_error(CommandFailure{
          ExitCode::kFailed,
          "refused: the order tables change, and these owners have not reported within 10s:" +
              missing + "; if they are terminated, use --confirm-terminated NAME for each"});
    }
    return {};
  }

  // Returns the owners in the current order table and all later ones of each service.
  static std::set<std::string> current_and_future_owners(const Bundle& bundle, Instant now) {
    std::set<std::string> owners;
    for (const BundleService& service : bundle.services) {
      const std::size_t first = order_table_index(service.order_tables, now).value_or(0);
      for (std::size_t i = first; i < service.order_tables.size(); ++i) {
        const auto& upstreams = service.order_tables[i].upstreams;
        owners.insert(upstreams.begin(), upstreams.end());
      }
    }
    return owners;
  }

  boost::leaf::result<ExitCode> write_document(const std::string& key,
                                               StoreRevision expected,
                                               const std::string& document,
                                               std::string_view result_label) {
    const PlatformObject ours{key, expected, document};
    auto outcome = write_and_confirm(objects_, key, expected, document);
    if (auto* unavailable = std::get_if<PlatformUnavailable>(&outcome)) {
      unavailable->detail += "; the change may have taken effect, see bundle status";
      return boost::leaf::new_error(std::move(*unavailable));
    }
    if (const auto* conflict = std::get_if<VersionConflict>(&outcome)) {
      context_.err << "conflict on " << key << ", nothing was changed\n";
      print_bundle_object("ours", ours);
      print_bundle_object("theirs", conflict->current);
      return ExitCode::kConflict;
    }
    const WriteConfirmed& written = std::get<WriteConfirmed>(outcome);
    print_bundle_object(result_label, {key, written.version, document}, context_.out);
    if (written.answer_was_lost) {
      context_.out << "an answer was lost; reading back showed that the change took effect\n";
    }
    return ExitCode::kSuccess;
  }

  std::optional<SignedBundle> try_open(const PlatformObject& object) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<SignedBundle>> {
          BOOST_LEAF_AUTO(opened,
                          signer_.open(object.key, object.value, SignOffRequirement::kNotRequired));
          return opened;
        },
        [] { return std::optional<SignedBundle>(); });
  }

  std::uint64_t generation_of(const PlatformObject& object) {
    const auto opened = try_open(object);
    return opened ? opened->bundle.generation : 0;
  }

  void print_bundle_object(std::string_view label, const PlatformObject& object) {
    print_bundle_object(label, object, context_.err);
  }

  void print_bundle_object(std::string_view label,
                           const PlatformObject& object,
                           std::ostream& out) {
    out << label << ": " << object.key << " version " << object.version.number;
    const auto opened = try_open(object);
    if (!opened) {
      out << (object.value.empty() ? ", no object\n" : ", not a valid document\n");
      return;
    }
    out << ", generation " << opened->bundle.generation << " by " << opened->bundle.author
        << ", digest " << sha256_hex(opened->text) << ", signed off by";
    for (const SignOff& sign_off : opened->sign_offs) {
      out << " " << sign_off.operator_name;
    }
    out << (opened->sign_offs.empty() ? " nobody\n" : "\n");
  }

  void print_reports(const std::vector<PlatformObject>& reports, std::uint64_t generation) {
    const Instant now = context_.clock.wall();
    std::size_t behind = 0;
    for (const PlatformObject& object : reports) {
      const auto report = parse_status(object);
      if (!report) {
        context_.out << object.key << ": not a valid status object\n";
        continue;
      }
      behind += report->generation < generation ? 1 : 0;
      context_.out << report->name << ": generation " << report->generation << ", reported "
                   << (now - report->reported_at).ms << "ms ago\n";
    }
    context_.out << reports.size() << " processes, " << behind << " with an older generation\n";
  }

  CommandContext& context_;
  BundleSigner signer_;
  BlockingObjectClient objects_;
};

using CommandMethod = std::function<boost::leaf::result<ExitCode>(BundlePlatformCommand&)>;

CLI::App* add_command(CLI::App& bundle,
                      CommandContext& context,
                      const std::shared_ptr<Options>& options,
                      const std::string& name,
                      const std::string& description,
                      CommandMethod run) {
  CLI::App* const command = bundle.add_subcommand(name, description);
  command->add_option("--settings", options->settings, "operator settings")->required();
  command->callback([&context, options, run = std::move(run)] {
    run_command(context, [&]() -> boost::leaf::result<ExitCode> {
      BOOST_LEAF_AUTO(settings, load_operator_settings(options->settings));
      BundlePlatformCommand platform(context, settings);
      return run(platform);
    });
  });
  return command;
}

}  // namespace

void add_bundle_platform_commands(CLI::App& bundle, CommandContext& context) {
  const auto options = std::make_shared<Options>();
  CLI::App* const propose =
      add_command(bundle, context, options, "propose", "store a signed bundle as a proposal",
                  [options](BundlePlatformCommand& command) { return command.propose(*options); });
  propose->add_option("file", options->file, "signed document")->required();

  CLI::App* const sign_off =
      add_command(bundle, context, options, "sign-off", "sign off a proposal as a second operator",
                  [options](BundlePlatformCommand& command) { return command.sign_off(*options); });
  sign_off->add_option("generation", options->generation, "generation")->required();
  sign_off->add_option("--operator", options->operator_name, "name of the operator")->required();
  sign_off->add_option("--key", options->key, "file with the private key")->required();
  sign_off->add_option("--digest", options->digest, "digest of the bundle that was reviewed")
      ->required();

  CLI::App* const roll_out = add_command(
      bundle, context, options, "roll-out", "make a signed-off proposal the current bundle",
      [options](BundlePlatformCommand& command) { return command.roll_out(*options); });
  roll_out->add_option("generation", options->generation, "generation")->required();
  roll_out->add_option("--confirm-terminated", options->confirmed_terminated,
                       "order owner that is known to be terminated; may be repeated");

  add_command(bundle, context, options, "status", "show current and proposed bundles and processes",
              [](BundlePlatformCommand& command) { return command.status(); });
}

}  // namespace bluebellstep
