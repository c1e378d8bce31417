// Starts gateways with the command of the deploy file, and a proxy that can hold what passes.

#ifndef BLUEBELLSTEP_REVIEW_COMMON_2_GATEWAYS_H_
#define BLUEBELLSTEP_REVIEW_COMMON_2_GATEWAYS_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

namespace review {

/** A running gateway. Its log is in the work folder. */
struct Gateway {
  std::string name;
  pid_t pid = -1;
  int callers = 0;
  int ready = 0;
  int peers = 0;
  std::string log;
};

/** Starts `target/bluebellstep gateway --settings FILE` with the settings that the deploy file's
 * template gives for a front machine of a small site. Ends all of them when it is destroyed. */
class Gateways {
 public:
  /** @param folder  A temporary folder for settings and logs. */
  Gateways(std::string program, std::string folder)
      : program_(std::move(program)), folder_(std::move(folder)) {}
  Gateways(const Gateways&) = delete;
  Gateways& operator=(const Gateways&) = delete;
  ~Gateways();

  /** @param link_mbps  The gateway with the fastest link reads the store for the others. */
  const Gateway& start(const std::string& name,
                       const std::string& zone,
                       int store_port,
                       double link_mbps = 1000);
  /** Waits until GET /ready is answered with 200. Asks only once the gateway has said that it
   * listens, since it may end with SIGSEGV if it is asked while it starts; see REPORT-2.md. */
  static bool wait_ready(const Gateway& gateway, std::int64_t timeout_ms);
  /** Whether the process still runs. */
  static bool runs(const Gateway& gateway);

 private:
  std::string program_;
  std::string folder_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
};

/** Passes connections on to a port. While held, bytes of both directions stay in the proxy and are
 * delivered when the hold ends, as a link does that is cut and heals. */
class Proxy {
 public:
  explicit Proxy(int target_port);
  int port() const { return port_; }
  void hold(bool held) { held_ = held; }
  /** Called with the bytes of each read from a client. */
  void on_request_bytes(std::function<void(const std::string&)> callback) {
    const std::lock_guard lock(mutex_);
    on_request_bytes_ = std::move(callback);
  }

 private:
  void serve(int fd);
  void pass(const std::shared_ptr<Connection>& from,
            const std::shared_ptr<Connection>& to,
            bool is_request);

  int target_port_;
  int port_ = 0;
  std::atomic<bool> held_ = false;
  std::mutex mutex_;
  std::function<void(const std::string&)> on_request_bytes_;
};

/** Whether the disruption is to be left out: TROUBLE=0. */
bool without_trouble();

}  // namespace review

#endif  // BLUEBELLSTEP_REVIEW_COMMON_2_GATEWAYS_H_
