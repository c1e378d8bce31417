// Operator keys and a small valid bundle, for tests of several modules.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_TEST_BUNDLE_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_TEST_BUNDLE_H_

#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <string_view>

#include "base/ed25519.h"
#include "bundle/bundle_signer.h"

namespace bluebellstep {

/** Key pairs of two operators, `ana` and `ben`. */
struct TestOperators {
  KeyPair ana = generate_key_pair();
  KeyPair ben = generate_key_pair();

  OperatorKeys keys() const { return {{"ana", ana.public_key}, {"ben", ben.public_key}}; }
};

/** Text of a valid bundle whose author is `ana`, with two zones, an engine, two order services and
 * a cache store. `order_tables` is YAML. */
inline std::string test_bundle_text(
    std::uint64_t generation,
    std::string_view order_tables = "[{effective_ms: 0, upstreams: [order-1, order-2]}]") {
  return "generation: " + std::to_string(generation) +
         "\n"
         "author: ana\n"
         "zones:\n"
         "  - {name: a, region: south, in_service: true, serial: 1}\n"
         "  - {name: b, region: south, in_service: true, serial: 1}\n"
         "accounts:\n"
         "  - name: acme\n"
         "    share: 2.5\n"
         "    priority: 3\n"
         "    credential_sha256: " +
         sha256_hex("token") +
         "\n"
         "    classes: [interactive, batch]\n"
         "models:\n"
         "  - {name: clerk, weight_version: v1, further_versions: [v2]}\n"
         "upstreams:\n"
         "  - {name: clerk-1, zone: a, kind: engine, models: [clerk], rpc: 127.0.0.1:7001}\n"
         "  - {name: order-1, zone: a, kind: service, service: orders, rpc: 127.0.0.1:7002}\n"
         "  - {name: order-2, zone: b, kind: service, service: orders, rpc: 127.0.0.1:7003}\n"
         "services:\n"
         "  - name: orders\n"
         "    order_tables: " +
         std::string(order_tables) +
         "\n"
         "    idempotent_paths: [/stock]\n"
         "    non_idempotent_paths: [/orders, /stock/reserve]\n"
         "stores:\n"
         "  - name: store-1\n"
         "    zone: a\n"
         "    endpoint: 127.0.0.1:7100\n"
         "    memory_link_bytes_per_s: 64MB\n"
         "    disk_link_bytes_per_s: 8MB\n"
         "limits: {request_deadline: 30s, max_tokens: 512}\n";
}

/** Signed document of the bundle `text`: signature of `ana`, sign-off by `ben`. */
inline std::string test_document(const TestOperators& operators, std::string_view text) {
  const BundleSigner signer(operators.keys());
  const std::string document = signer.sign_bundle("test", text, operators.ana.private_key).value();
  return signer.sign_off("test", document, "ben", operators.ben.private_key).value();
}

/** Runs `action`, which returns a `boost::leaf::result`. Returns its `SettingsErrors` as text, or
 * an empty string if it succeeds. */
template <typename Action>
std::string settings_errors_of(Action&& action) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(action());
        return std::string();
      },
      [](const SettingsErrors& errors) { return errors.to_string(); },
      [] { return std::string("another error"); });
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_TEST_BUNDLE_H_
