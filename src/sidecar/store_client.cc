// Transfers over HTTP.

#include "sidecar/store_client.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {
namespace {

// Transfers of one tier under way at once: enough to fill a link over a round trip of 1.5 ms.
constexpr std::uint32_t kMaxInFlight = 8;

std::string tier_name(Tier tier) {
  return tier == Tier::kMemory ? "memory" : "disk";
}

bool is_complete(const HttpClient::Response& response) {
  return std::holds_alternative<HttpClient::Complete>(response.outcome);
}

}  // namespace

StoreClient::StoreClient(RpcLoop& loop, HttpClient& client, Metrics& metrics)
    : loop_(loop),
      client_(client),
      metrics_(metrics),
      links_(kMaxInFlight),
      self_(std::make_shared<StoreClient*>(this)) {}

StoreClient::~StoreClient() {
  *self_ = nullptr;
}

void StoreClient::apply_bundle(const Bundle& bundle, NameTable<AccountId>& accounts) {
  for (const BundleAccount& account : bundle.accounts) {
    links_.set_weight(accounts.intern(account.name), account.share);
  }
  stores_.clear();
  for (const BundleStore& store : bundle.stores) {
    const auto known = store_ids_.find(store.name);
    const StoreId id = known != store_ids_.end() ? known->second : selector_.add(store.name);
    store_ids_.emplace(store.name, id);
    stores_[id] = {
        store.name, store.endpoint, {store.memory_link_bytes_per_s, store.disk_link_bytes_per_s}};
  }
}

LinkState StoreClient::link_state(Tier tier) const {
  LinkState state;
  for (const auto& [id, store] : stores_) {
    if (selector_.is_available(id)) {
      state.bytes_per_s +=
          static_cast<double>(store.bytes_per_s.at(static_cast<std::size_t>(tier)));
    }
  }
  state.queued_bytes = links_.queued_bytes(tier);
  return state;
}

void StoreClient::read(const Request& request, OnRead on_read) {
  const TransferId id{next_transfer_++};
  transfers_.emplace(id, Moving{.request = request, .on_read = std::move(on_read)});
  links_.push(
      {id, request.account, request.tier, request.bytes, request.deadline, Priority::kHigh});
  start_waiting();
}

void StoreClient::write(const Request& request, std::string payload, OnWritten on_written) {
  const TransferId id{next_transfer_++};
  transfers_.emplace(id, Moving{.request = request,
                                .payload = std::move(payload),
                                .on_written = std::move(on_written)});
  links_.push({id, request.account, request.tier, request.bytes, request.deadline, Priority::kLow});
  start_waiting();
}

void StoreClient::start_waiting() {
  for (const Tier tier : {Tier::kMemory, Tier::kDisk}) {
    while (const auto next = links_.start_next(tier, clock_.now())) {
      start(next->id);
    }
  }
}

void StoreClient::start(TransferId id) {
  Moving& moving = transfers_.at(id);
  const auto selected = selector_.select(moving.request.key, clock_.now());
  const auto store = selected.has_value() ? stores_.find(*selected) : stores_.end();
  if (store == stores_.end()) {
    // Not within this call: the caller may still be setting up the transfer.
    loop_.post([self = self_, id] {
      if (*self != nullptr && (*self)->transfers_.contains(id)) {
        (*self)->give_up(id);
      }
    });
    return;
  }
  moving.store = store->first;
  HttpCall call;
  call.endpoint = store->second.endpoint;
  call.path = "/blocks/" + moving.request.key.to_hex() + "?tier=" + tier_name(moving.request.tier);
  call.connect_timeout =
      std::max(Duration{1}, std::min(call.connect_timeout, moving.request.deadline - clock_.now()));
  BlockGeneration generation;
  if (moving.on_written) {
    generation = generations_.next(clock_.wall());
    call.method = "PUT";
    call.headers = {{"content-type", "application/octet-stream"}};
    call.body = encode_block_frame(moving.request.key, generation, moving.payload);
  }
  moving.request.oldest = std::max(moving.request.oldest, generation);
  moving.call =
      client_.send(std::move(call), [this, self = self_, id](HttpClient::Response response) {
        loop_.post([self, id, response = std::move(response)]() mutable {
          if (*self != nullptr && (*self)->transfers_.contains(id)) {
            (*self)->take_response(id, std::move(response));
          }
        });
      });
}

StoreClient::Moving StoreClient::take(TransferId id) {
  const auto found = transfers_.find(id);
  Moving moving = std::move(found->second);
  transfers_.erase(found);
  links_.finish(id);
  return moving;
}

void StoreClient::take_response(TransferId id, HttpClient::Response response) {
  Moving moving = take(id);
  start_waiting();
  if (!is_complete(response) || response.status >= 500) {
    // A full store works, but takes no more.
    if (response.status != 507) {
      selector_.report_failure(*moving.store, clock_.now());
    }
    metrics_.count("bluebellstep_store_transfers_total",
                   response.status == 507 ? "full" : "failed");
    end_without_block(std::move(moving));
    return;
  }
  if (moving.on_written) {
    const BlockGeneration generation = moving.request.oldest;
    take_written(std::move(moving), generation, response);
  } else {
    take_read(std::move(moving), std::move(response));
  }
}

void StoreClient::take_read(Moving moving, HttpClient::Response response) {
  if (response.status != 200) {
    selector_.report_success(*moving.store);
    metrics_.count("bluebellstep_store_transfers_total", "missing");
    end_without_block(std::move(moving));
    return;
  }
  const ExpectedBlock expected{moving.request.key, moving.request.oldest};
  const auto payload = decode_block_frame(response.body, expected);
  if (!payload.has_value()) {
    selector_.report_failure(*moving.store, clock_.now());
    metrics_.count("bluebellstep_store_transfers_total", "damaged");
    end_without_block(std::move(moving));
    return;
  }
  selector_.report_success(*moving.store);
  metrics_.count("bluebellstep_store_transfers_total", "read");
  metrics_.count("bluebellstep_link_bytes_total", tier_name(moving.request.tier),
                 static_cast<double>(response.body.size()));
  moving.on_read(Block{std::string(*payload), moving.request.oldest,
                       static_cast<std::uint32_t>(response.body.size())});
}

void StoreClient::take_written(Moving moving,
                               BlockGeneration generation,
                               const HttpClient::Response& response) {
  const bool is_stored = response.status >= 200 && response.status < 300;
  selector_.report_success(*moving.store);
  metrics_.count("bluebellstep_store_transfers_total", is_stored ? "written" : "refused");
  metrics_.count("bluebellstep_link_bytes_total", tier_name(moving.request.tier),
                 static_cast<double>(moving.payload.size()));
  moving.on_written(is_stored ? std::optional(generation) : std::nullopt);
}

void StoreClient::end_without_block(Moving moving) {
  if (moving.on_written) {
    moving.on_written(std::nullopt);
  } else {
    moving.on_read(std::nullopt);
  }
}

void StoreClient::give_up(TransferId id) {
  Moving moving = take(id);
  if (moving.call.has_value()) {
    client_.cancel(*moving.call);
    selector_.report_failure(*moving.store, clock_.now());
    metrics_.count("bluebellstep_store_transfers_total", "late");
  }
  end_without_block(std::move(moving));
}

void StoreClient::tick() {
  const Instant now = clock_.now();
  std::vector<TransferId> late;
  for (const auto& [id, moving] : transfers_) {
    if (now >= moving.request.deadline) {
      late.push_back(id);
    }
  }
  links_.take_expired(now);
  for (const TransferId id : late) {
    if (transfers_.contains(id)) {
      give_up(id);
    }
  }
  start_waiting();
}

}  // namespace bluebellstep
