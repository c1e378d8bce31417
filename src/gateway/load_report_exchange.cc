// Sends and receives load reports as datagrams.

#include "gateway/load_report_exchange.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <span>
#include <system_error>
#include <utility>

#include "base/log_event.h"
#include "gateway/account_work_datagram.h"
#include "http/http_loop_impl.h"
#include "http/socket_address.h"
#include "process/process_runtime.h"

namespace bluebellstep {
namespace {

// Large enough for a report of a few hundred upstreams.
constexpr std::size_t kMaxDatagram = 16u << 10;
// Interval between reminders of quarantined segments, each to one gateway.
constexpr Duration kReminderInterval{250};

int open_datagram_socket(const Endpoint& endpoint) {
  std::optional<SocketAddress> address = to_socket_address(endpoint);
  const int fd =
      address ? ::socket(address->get()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
              : -1;
  if (fd < 0 || ::bind(fd, address->get(), address->length) != 0) {
    const int error = address ? errno : EINVAL;
    if (fd >= 0) {
      ::close(fd);
    }
    throw std::system_error(error, std::generic_category(),
                            "cannot open UDP socket for load reports on " + to_string(endpoint));
  }
  return fd;
}

}  // namespace

LoadReportExchange::LoadReportExchange(HttpLoop& loop,
                                       const Endpoint& listen,
                                       std::string name,
                                       std::function<LoadReport()> make_report,
                                       std::function<void(LoadReport)> on_report)
    : loop_(loop),
      name_(std::move(name)),
      make_report_(std::move(make_report)),
      on_report_(std::move(on_report)),
      fd_(open_datagram_socket(listen)),
      incarnation_(make_incarnation()) {
  socket_ = h2o_evloop_socket_create(loop_.impl().loop(), fd_, H2O_SOCKET_FLAG_DONT_READ);
  socket_->data = this;
  h2o_socket_read_start(socket_, on_readable);
  send_report();
}

LoadReportExchange::~LoadReportExchange() {
  h2o_socket_close(socket_);
}

void LoadReportExchange::on_readable(h2o_socket_t* socket, const char* error) {
  if (error == nullptr) {
    static_cast<LoadReportExchange*>(socket->data)->read_all();
  }
}

void LoadReportExchange::read_all() {
  std::array<std::uint8_t, kMaxDatagram> buffer;
  while (true) {
    SocketAddress sender;
    sender.length = sizeof(sender.storage);
    const ssize_t size =
        ::recvfrom(fd_, buffer.data(), buffer.size(), 0, sender.get(), &sender.length);
    if (size < 0) {
      return;  // No further datagram, or an error that is cleared by a later call.
    }
    const std::span<const std::uint8_t> bytes(buffer.data(), static_cast<std::size_t>(size));
    if (is_version_report(bytes)) {
      if (const auto report = decode_version_report(bytes); report && on_version_report_) {
        on_version_report_(*report);
      }
    } else if (auto report = decode_load_report(bytes)) {
      on_report_(std::move(*report));
    } else if (const auto update = decode_cache_update(bytes); update && on_cache_update_) {
      on_cache_update_(*update);
    } else if (const auto quarantine = decode_quarantine_report(bytes);
               quarantine && quarantine_ != nullptr) {
      quarantine_->apply(*quarantine, clock_.now());
    } else if (const auto work = decode_account_work(bytes); work && overload_policy_ != nullptr) {
      overload_policy_->apply(*work, clock_.now());
    } else {
      on_quota_datagram(bytes, sender);
    }
  }
}

void LoadReportExchange::send_report() {
  LoadReport report = make_report_();
  report.gateway = name_;
  report.sequence = ++sequence_;
  report.incarnation = incarnation_;
  const Instant now = clock_.now();
  const bool sends_heartbeats =
      report.versions_epoch > 1 || peers_.size() <= ReportPacer::kSmallFleetPeers;
  const Duration idle_interval =
      sends_heartbeats ? ReportPacer::kHeartbeatInterval : ReportPacer::kIdleInterval;
  if (!report.upstream_loads.empty() || !last_report_was_empty_ ||
      report.versions_epoch != last_versions_epoch_ || now >= last_sent_at_ + idle_interval) {
    last_sent_at_ = now;
    send(encode_load_report(report), peers_);
  }
  last_report_was_empty_ = report.upstream_loads.empty();
  last_versions_epoch_ = report.versions_epoch;
  send_quarantine_report();
  send_quota_request();
  send_account_work();
  pacer_.record_reported(clock_.now());
  schedule_report();
}

void LoadReportExchange::send_quarantine_report() {
  if (quarantine_ == nullptr || peers_.empty()) {
    return;
  }
  const Instant now = clock_.now();
  const QuarantineReport report = quarantine_->make_report(now);
  if (!report.empty()) {
    send(encode_quarantine_report(report), peers_);
  }
  if (now < reminded_at_ + kReminderInterval) {
    return;
  }
  reminded_at_ = now;
  const QuarantineReport reminder = quarantine_->make_reminder(now);
  if (!reminder.empty()) {
    send(encode_quarantine_report(reminder), {peers_[reminded_peers_++ % peers_.size()]});
  }
}

void LoadReportExchange::send_quota_request() {
  if (!quota_callbacks_.make_request) {
    return;
  }
  // Called without peers too, since it drops outdated records of loans and demand.
  const auto request = quota_callbacks_.make_request();
  if (!request || peers_.empty()) {
    return;
  }
  std::vector<Endpoint> lenders;
  for (std::size_t i = 0; i < std::min(peers_.size(), QuotaLending::kMaxLenders); ++i) {
    lenders.push_back(peers_[asked_peers_++ % peers_.size()]);
  }
  send(encode_quota_request(*request), lenders);
}

void LoadReportExchange::on_quota_datagram(std::span<const std::uint8_t> bytes,
                                           const SocketAddress& sender) {
  if (!quota_callbacks_.answer) {
    return;
  }
  if (const auto request = decode_quota_request(bytes)) {
    const QuotaGrant grant = quota_callbacks_.answer(*request);
    if (!grant.granted.empty()) {
      const std::string answer = encode_quota_grant(grant);
      // A lost grant costs nothing but the loan.
      (void)::sendto(fd_, answer.data(), answer.size(), 0, sender.get(), sender.length);
    }
  } else if (const auto grant = decode_quota_grant(bytes)) {
    quota_callbacks_.apply(*grant);
  }
}

void LoadReportExchange::send_account_work() {
  if (overload_policy_ == nullptr || peers_.empty()) {
    return;
  }
  for (AccountWorkReport& report : overload_policy_->take_reports(clock_.now())) {
    report.gateway = name_;
    report.incarnation = incarnation_;
    send(encode_account_work(report), peers_);
  }
}

void LoadReportExchange::send(std::string_view bytes, const std::vector<Endpoint>& peers) const {
  for (const Endpoint& peer : peers) {
    if (std::optional<SocketAddress> address = to_socket_address(peer)) {
      // Errors are ignored: the next report replaces this one, and a gateway that misses an update
      // polls the node.
      (void)::sendto(fd_, bytes.data(), bytes.size(), 0, address->get(), address->length);
    }
  }
}

void LoadReportExchange::send_to_zone(const CacheUpdate& update) {
  const std::string bytes = encode_cache_update(update);
  if (bytes.size() <= kMaxCacheUpdateBytes) {
    send(bytes, zone_peers_);
  }
}

void LoadReportExchange::send_version_report(VersionReport report) {
  report.gateway = name_;
  report.incarnation = incarnation_;
  report.sequence = ++version_report_sequence_;
  const std::string bytes = encode_version_report(report);
  if (bytes.size() <= kMaxDatagram) {
    send(bytes, peers_);
  }
}

void LoadReportExchange::set_peers(std::vector<Endpoint> peers) {
  peers_ = std::move(peers);
  pacer_.set_peer_count(peers_.size());
}

void LoadReportExchange::record_sent(std::uint32_t uncached_tokens) {
  pacer_.record_sent(uncached_tokens, clock_.now());
  schedule_report();
}

void LoadReportExchange::report_soon() {
  pacer_.record_urgent_change(clock_.now());
  schedule_report();
}

void LoadReportExchange::schedule_report() {
  const Instant due = pacer_.due();
  if (scheduled_for_ && *scheduled_for_ <= due) {
    return;
  }
  scheduled_for_ = due;
  const Duration delay = std::max(Duration{0}, due - clock_.now());
  loop_.post_after(delay, [this, due, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired() || scheduled_for_ != due) {
      return;
    }
    scheduled_for_.reset();
    send_report();
  });
}

}  // namespace bluebellstep
