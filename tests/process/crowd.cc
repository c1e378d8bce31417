// Sends the bytes of a crowd over non-blocking sockets, and reads the usage of a process.

#include "tests/process/crowd.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "base/clock.h"

namespace bluebellstep::testing {
namespace {

constexpr Duration kBlockedTime{1000};
constexpr Duration kMaxRunTime{20'000};

// Returns the number after `label` in a file of /proc, or 0.
std::size_t number_after(const std::string& text, const std::string& label) {
  const auto at = text.find(label);
  if (at == std::string::npos) {
    return 0;
  }
  std::size_t number = 0;
  std::istringstream(text.substr(at + label.size())) >> number;
  return number;
}

std::string read_text(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

Crowd::Crowd(std::uint16_t port, CrowdPlan plan) : plan_(std::move(plan)) {
  // Small units are sent together, as by a client that does not wait between them.
  constexpr std::size_t kMinUnitBytes = 65'536;
  const std::string unit = plan_.unit;
  while (!unit.empty() && plan_.unit.size() < kMinUnitBytes) {
    plan_.unit += unit;
  }
  members_.reserve(static_cast<std::size_t>(plan_.connections));
  for (int i = 0; i < plan_.connections; ++i) {
    members_.push_back({.socket = RawSocket::connect(port)});
    const int fd = members_.back().socket.fd();
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  }
}

std::string_view Crowd::next_bytes(std::size_t sent) const {
  std::string_view bytes;
  if (sent < plan_.head.size()) {
    bytes = std::string_view(plan_.head).substr(sent);
  } else if (const std::size_t in_units = sent - plan_.head.size(); in_units < plan_.unit_bytes) {
    bytes = std::string_view(plan_.unit).substr(in_units % plan_.unit.size());
    bytes = bytes.substr(0, plan_.unit_bytes - in_units);
  } else {
    const std::size_t in_tail = in_units - plan_.unit_bytes;
    bytes = std::string_view(plan_.tail).substr(std::min(in_tail, plan_.tail.size()));
  }
  return plan_.bytes_per_send == 0 ? bytes : bytes.substr(0, plan_.bytes_per_send);
}

bool Crowd::advance(Member& member) {
  // Limited, so that all connections send at the same time.
  constexpr int kMaxSends = 64;
  bool any_sent = false;
  for (int i = 0; i < kMaxSends && !member.finished; ++i) {
    const std::string_view bytes = next_bytes(member.sent);
    if (bytes.empty()) {
      end(member);
      break;
    }
    const ssize_t count = ::send(member.socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      break;
    }
    if (count <= 0) {
      member.finished = true;
      break;
    }
    member.sent += static_cast<std::size_t>(count);
    any_sent = true;
  }
  return any_sent;
}

void Crowd::end(Member& member) {
  member.finished = true;
  if (plan_.end == CrowdPlan::End::kHalfClose) {
    ::shutdown(member.socket.fd(), SHUT_WR);
  } else if (plan_.end == CrowdPlan::End::kReset) {
    member.socket.reset();
  }
}

void Crowd::run() {
  const Clock clock;
  const Instant stop_at = clock.now() + kMaxRunTime;
  Instant last_sent_at = clock.now();
  while (clock.now() < stop_at && clock.now() < last_sent_at + kBlockedTime) {
    std::vector<pollfd> poll_fds;
    std::vector<Member*> waiting;
    for (Member& member : members_) {
      if (!member.finished) {
        poll_fds.push_back({.fd = member.socket.fd(), .events = POLLOUT, .revents = 0});
        waiting.push_back(&member);
      }
    }
    if (poll_fds.empty()) {
      return;
    }
    ::poll(poll_fds.data(), poll_fds.size(), 100);
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if (poll_fds[i].revents != 0 && advance(*waiting[i])) {
        last_sent_at = clock.now();
      }
    }
  }
}

std::vector<std::string> Crowd::receive() {
  std::vector<std::string> received;
  for (Member& member : members_) {
    received.push_back(member.socket.receive_some());
  }
  return received;
}

ProcessUsage read_process_usage(pid_t pid) {
  constexpr std::size_t kBytesPerKb = 1024;
  const std::string folder = "/proc/" + std::to_string(pid);
  const std::string status = read_text(folder + "/status");
  ProcessUsage usage{
      .resident_bytes = number_after(status, "VmRSS:") * kBytesPerKb,
      .peak_resident_bytes = number_after(status, "VmHWM:") * kBytesPerKb,
      .descriptor_limit = number_after(read_text(folder + "/limits"), "Max open files")};
  std::error_code error;  // The process may have ended.
  for (std::filesystem::directory_iterator entry(folder + "/fd", error), end;
       !error && entry != end; entry.increment(error)) {
    ++usage.descriptors;
  }
  return usage;
}

}  // namespace bluebellstep::testing
