// Bundle commands that need only files: keygen, validate and sign.

#include <memory>

#include "base/ed25519.h"
#include "bundle/bundle_parser.h"
#include "bundle/bundle_signer.h"
#include "cli/command_context.h"
#include "settings/operator_settings.h"

namespace bluebellstep {
namespace {

struct Options {
  std::string file;
  std::string previous;
  std::string key;
  std::string settings;
  std::string out;
};

boost::leaf::result<ExitCode> keygen(CommandContext& context, const Options& options) {
  const KeyPair pair = generate_key_pair();
  BOOST_LEAF_CHECK(write_file(options.out, pair.private_key + "\n", true));
  context.out << "private key written to " << options.out << "\n"
              << "public key: " << pair.public_key << "\n";
  return ExitCode::kSuccess;
}

boost::leaf::result<ExitCode> validate(CommandContext& context, const Options& options) {
  BOOST_LEAF_AUTO(text, read_settings_file(options.file));
  const BundleParser parser(options.file);
  BOOST_LEAF_AUTO(bundle, parser.parse(text));
  if (!options.previous.empty()) {
    BOOST_LEAF_AUTO(previous_text, read_settings_file(options.previous));
    BOOST_LEAF_AUTO(previous, BundleParser(options.previous).parse(previous_text));
    BOOST_LEAF_CHECK(parser.check_succession(previous, bundle, context.clock.wall()));
  }
  context.out << options.file << ": valid, generation " << bundle.generation << " by "
              << bundle.author << ", digest " << sha256_hex(text) << "\n";
  return ExitCode::kSuccess;
}

boost::leaf::result<ExitCode> sign_file(CommandContext& context, const Options& options) {
  BOOST_LEAF_AUTO(settings, load_operator_settings(options.settings));
  BOOST_LEAF_AUTO(text, read_settings_file(options.file));
  BOOST_LEAF_AUTO(key, read_key_file(options.key));
  BOOST_LEAF_AUTO(document,
                  BundleSigner(settings.operator_keys).sign_bundle(options.file, text, key));
  BOOST_LEAF_CHECK(write_file(options.out, document, false));
  context.out << "signed document written to " << options.out << ", digest of the bundle "
              << sha256_hex(text) << "\n";
  return ExitCode::kSuccess;
}

}  // namespace

void add_bundle_file_commands(CLI::App& bundle, CommandContext& context) {
  const auto options = std::make_shared<Options>();
  CLI::App* const keygen_command =
      bundle.add_subcommand("keygen", "generate an operator's key pair");
  keygen_command->add_option("--out", options->out, "file for the private key; must not exist")
      ->required();
  keygen_command->callback(
      [&context, options] { run_command(context, [&] { return keygen(context, *options); }); });

  CLI::App* const validate_command = bundle.add_subcommand("validate", "check a bundle");
  validate_command->add_option("file", options->file, "file with the bundle")->required();
  validate_command->add_option("--previous", options->previous, "file with the previous bundle");
  validate_command->callback(
      [&context, options] { run_command(context, [&] { return validate(context, *options); }); });

  CLI::App* const sign_command = bundle.add_subcommand("sign", "sign a bundle as its author");
  sign_command->add_option("file", options->file, "file with the bundle")->required();
  sign_command->add_option("--key", options->key, "file with the author's private key")->required();
  sign_command->add_option("--settings", options->settings, "operator settings")->required();
  sign_command->add_option("--out", options->out, "file for the signed document")->required();
  sign_command->callback(
      [&context, options] { run_command(context, [&] { return sign_file(context, *options); }); });
}

}  // namespace bluebellstep
