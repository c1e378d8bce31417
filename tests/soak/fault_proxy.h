// TCP proxy on the loopback address that injects faults into the connections through it.

#ifndef BLUEBELLSTEP_TESTS_SOAK_FAULT_PROXY_H_
#define BLUEBELLSTEP_TESTS_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

#include "http/listening_socket.h"

namespace bluebellstep::testing {

/** Fault that affects all connections of a proxy. */
enum class ProxyFault {
  kNone,
  kDelay,          // Data arrives 30 ms late.
  kReset,          // Connections are reset.
  kUnresponsive,   // No data arrives in either direction; connections stay open.
  kDropResponses,  // Requests arrive, responses are discarded.
  kInvalidHeads,   // Response heads have an undefined status or an invalid field name.
};

/** Forwards connections to a port of the loopback address, with one thread each. */
class FaultProxy {
 public:
  explicit FaultProxy(std::uint16_t target);
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  ~FaultProxy();

  std::uint16_t port() const { return listener_.port; }
  /** Replaces the fault; also affects open connections. */
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
  std::thread acceptor_;                  // Last member, because its thread uses the others.
};

}  // namespace bluebellstep::testing

#endif  // BLUEBELLSTEP_TESTS_SOAK_FAULT_PROXY_H_
