// Size of a bundle document, and time and memory of verifying and parsing it, by number of accounts
// and of upstreams. Every process does this for each change of the configuration.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

#include "base/ed25519.h"
#include "bench/heap_count.h"
#include "bundle/bundle_signer.h"

namespace bluebellstep {
namespace {

// Constant private keys, so that every run creates the same document.
const std::string kAuthorKey = encode_base64(std::string(32, '\1'));
const std::string kSignerKey = encode_base64(std::string(32, '\2'));

std::string bundle_head_text() {
  std::string text = "generation: 7\nauthor: ana\nzones:\n";
  for (int i = 0; i < 5; ++i) {
    text += "  - {name: zone-" + std::to_string(i) + ", region: region-" + std::to_string(i / 3) +
            ", in_service: true, serial: 1}\n";
  }
  text += "models:\n";
  for (int i = 0; i < 11; ++i) {
    text += "  - {name: model-" + std::to_string(i) + ", weight_version: v1}\n";
  }
  return text;
}

std::string bundle_text(std::int64_t accounts, std::int64_t upstreams) {
  std::string text = bundle_head_text() + "accounts:\n";
  for (std::int64_t i = 0; i < accounts; ++i) {
    const std::string name = "account-" + std::to_string(i);
    text += "  - {name: " + name +
            ", share: 1.5, priority: 3, credential_sha256: " + sha256_hex(name) +
            ", classes: [interactive, batch]}\n";
  }
  text += "upstreams:\n";
  for (std::int64_t i = 0; i < upstreams; ++i) {
    const std::string number = std::to_string(i);
    text += "  - {name: engine-" + number + ", zone: zone-" + std::to_string(i % 5) +
            ", kind: engine, models: [model-" + std::to_string(i % 11) + "], rpc: 10.1." +
            std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":7001}\n";
  }
  return text;
}

void open_document(benchmark::State& state, std::int64_t accounts, std::int64_t upstreams) {
  const BundleSigner signer(
      {{"ana", public_key_of(kAuthorKey).value()}, {"ben", public_key_of(kSignerKey).value()}});
  const std::string text = bundle_text(accounts, upstreams);
  const std::string without_sign_off = signer.sign_bundle("bench", text, kAuthorKey).value();
  const std::string document =
      signer.sign_off("bench", without_sign_off, "ben", kSignerKey).value();
  HeapCount before;
  HeapCount after;
  for (auto _ : state) {
    before = heap_count();
    reset_heap_peak();
    const auto opened = signer.open("bench", document);
    benchmark::DoNotOptimize(opened.value().bundle.generation);
    after = heap_count();
  }
  state.counters["document_bytes"] = static_cast<double>(document.size());
  state.counters["heap_bytes"] = static_cast<double>(after.live_bytes - before.live_bytes);
  state.counters["peak_bytes"] = static_cast<double>(after.peak_bytes - before.live_bytes);
  state.counters["allocations"] = static_cast<double>(after.allocations - before.allocations);
}

void bundle_by_accounts(benchmark::State& state) {
  open_document(state, state.range(0), 10);
}
BENCHMARK(bundle_by_accounts)->Arg(105)->Arg(210)->Arg(420)->Arg(840);

void bundle_by_upstreams(benchmark::State& state) {
  open_document(state, 10, state.range(0));
}
BENCHMARK(bundle_by_upstreams)->Arg(100)->Arg(425)->Arg(850)->Arg(1700);

// The size that the system is designed for. Its cost should be the sum of the costs by accounts and
// by upstreams.
void bundle_whole(benchmark::State& state) {
  open_document(state, 840, state.range(0));
}
BENCHMARK(bundle_whole)->Arg(850);

}  // namespace
}  // namespace bluebellstep
