// Tests of the HTTP thread and of the tasks posted to it.

#include "http/http_loop.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <thread>
#include <vector>

namespace bluebellstep {

// Guards against loops that share an unsynchronized memory recycler of h2o. Two loops then used the
// same buffer for their wake-ups, so that a waiting thread could hang or the process could crash.
TEST_CASE("loops that one thread creates do not share memory", "[http][loop]") {
  constexpr std::size_t kTasks = 20'000;
  constexpr std::size_t kLoops = 4;
  std::array<HttpLoop, kLoops> loops;
  std::array<std::size_t, kLoops> ran{};
  std::vector<std::thread> posters;
  for (std::size_t i = 0; i < kLoops; ++i) {
    posters.emplace_back([&loop = loops[i], &count = ran[i]] {
      for (std::size_t task = 0; task < kTasks; ++task) {
        loop.run_and_wait([&count] { ++count; });
      }
    });
  }
  for (std::thread& poster : posters) {
    poster.join();
  }
  for (const std::size_t count : ran) {
    CHECK(count == kTasks);
  }
}

}  // namespace bluebellstep
