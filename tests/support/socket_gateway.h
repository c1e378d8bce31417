// A gateway within the test process, on real sockets of the loopback address.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_SOCKET_GATEWAY_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_SOCKET_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/caller_listener.h"
#include "gateway/forwarder.h"
#include "tests/support/raw_socket.h"

namespace bluebellstep {

/** The listener, forwarder and pool of a gateway in zone "a" on an event loop of their own. Without
 * a configuration all requests are refused. */
class SocketGateway {
 public:
  explicit SocketGateway(RetryLimits retry_limits, const CallerListenerOptions& options = {}) {
    loop_.run_and_wait([&] {
      pool_ = std::make_unique<UpstreamPool>(PoolLimits{}, cache_, load_aggregator_, quota_);
      forwarder_ = std::make_unique<Forwarder>(loop_, *pool_, metrics_, "a", retry_limits);
      listener_ = std::make_unique<CallerListener>(loop_, Endpoint{"127.0.0.1", port_}, *forwarder_,
                                                   options);
    });
  }
  SocketGateway(const SocketGateway&) = delete;
  SocketGateway& operator=(const SocketGateway&) = delete;
  ~SocketGateway() {
    loop_.run_and_wait([this] {
      listener_.reset();
      forwarder_.reset();
      pool_.reset();
    });
  }

  /** Adds an upstream at a port of the loopback address. */
  void add_upstream(std::string_view id,
                    std::uint16_t port,
                    std::string_view software_version = "",
                    std::string_view service = "s") {
    loop_.run_and_wait([&] {
      pool_->put({.id = std::string(id),
                  .service = std::string(service),
                  .endpoint = {"127.0.0.1", port},
                  .zone = "a",
                  .slots = 4,
                  .software_version = std::string(software_version)},
                 Clock().now());
    });
  }

  void set_config(std::shared_ptr<const ServingConfig> config) {
    loop_.run_and_wait([&] { forwarder_->set_config(std::move(config)); });
  }

  /** Connects a caller. */
  RawSocket connect() const { return RawSocket::connect(port_); }

  /** Runs `task` on the loop, which handles nothing else meanwhile. */
  void run_on_loop(const std::function<void()>& task) { loop_.run_and_wait(task); }

  /** Only on the loop. */
  Forwarder& forwarder() { return *forwarder_; }

  /** Only on the loop. */
  CallerListener& listener() { return *listener_; }

 private:
  std::uint16_t port_ = RawListener().port();
  HttpLoop loop_;
  Metrics metrics_;
  LoadAggregator load_aggregator_;
  CacheDirectory cache_{load_aggregator_};
  RequestQuota quota_{"g1", Clock().now()};
  std::unique_ptr<UpstreamPool> pool_;
  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<CallerListener> listener_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SOCKET_GATEWAY_H_
