// A loopback proxy that delays, resets, silences or half-cuts the connections through it.

#ifndef BLUEBELLSTEP_TESTS_SOAK_FAULT_PROXY_H_
#define BLUEBELLSTEP_TESTS_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

#include "http/listening_socket.h"

namespace bluebellstep::testing {

/** What happens to bytes on their way. */
enum class ProxyFault {
  kNone,
  kDelay,          // They arrive 30 ms late.
  kReset,          // Connections are reset.
  kUnresponsive,   // Nothing arrives in either direction, and nothing is closed.
  kDropResponses,  // Requests arrive, responses do not.
};

/** Forwards connections to a port of the loopback address. */
class FaultProxy {
 public:
  explicit FaultProxy(std::uint16_t target);
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  ~FaultProxy();

  std::uint16_t port() const { return listener_.port; }
  void set_fault(ProxyFault fault) { fault_ = fault; }

 private:
  void accept_all();
  void serve(int caller);

  std::uint16_t target_;
  ListeningSocket listener_;
  std::atomic<ProxyFault> fault_{ProxyFault::kNone};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::thread> connections_;  // Guarded by `mutex_`.
  std::thread acceptor_;                  // The last member: it uses the others.
};

}  // namespace bluebellstep::testing

#endif  // BLUEBELLSTEP_TESTS_SOAK_FAULT_PROXY_H_
