// Benchmarks of admission. Target: a step under 1 microsecond.

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <variant>

#include "admission/admission_controller.h"

namespace bluebellstep {
namespace {

constexpr ModelId kModel{0};

AdmissionController warm_controller(Instant now) {
  AdmissionLimits limits;
  limits.max_running = 64;
  limits.kv_tokens = 10'000'000;
  AdmissionController controller(limits, {0});
  controller.set_weight_version(kModel, "2026-11-30");
  while (controller.is_cold(now)) {
    const Admission admission =
        controller.try_admit({.model = kModel, .weight_version = "2026-11-30"}, now);
    const auto* admitted = std::get_if<Admitted>(&admission);
    if (admitted == nullptr) {
      std::abort();
    }
    controller.finish(admitted->slot, now, Outcome::kCompleted);
  }
  return controller;
}

// One iteration is the three steps of a request: admission, first token and end.
void admit_and_finish(benchmark::State& state) {
  const Instant now{100'000};
  AdmissionController controller = warm_controller(now);
  const AdmissionRequest request{
      .model = kModel, .weight_version = "2026-11-30", .kv_tokens = 9000};
  const FirstTokenReport report{.start_id = "engine-start-1",
                                .known_blocks = 5,
                                .reused_blocks = 5,
                                .elapsed = 120_ms,
                                .predicted = 100_ms};
  for (auto _ : state) {
    const Admission admission = controller.try_admit(request, now);
    const SlotId slot = std::get<Admitted>(admission).slot;
    controller.first_token(slot, now, report);
    controller.finish(slot, now, Outcome::kCompleted);
  }
  state.SetItemsProcessed(3 * state.iterations());
}
BENCHMARK(admit_and_finish);

void refuse_when_full(benchmark::State& state) {
  const Instant now{100'000};
  AdmissionController controller = warm_controller(now);
  const AdmissionRequest request{
      .model = kModel, .weight_version = "2026-11-30", .kv_tokens = 9000, .waiting = 100'000};
  for (auto _ : state) {
    benchmark::DoNotOptimize(controller.try_admit(request, now));
  }
}
BENCHMARK(refuse_when_full);

}  // namespace
}  // namespace bluebellstep
