// Transfers blocks over HTTP and reports the results to the store selector.

#include "sidecar/store_client.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {
namespace {

// Maximum number of transfers in flight per tier. Enough to saturate a link with a round-trip time
// of 1.5 ms.
constexpr std::uint32_t kMaxInFlightPerTier = 8;

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
      links_(kMaxInFlightPerTier),
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

void StoreClient::read(const TransferRequest& request, ReadCallback on_read) {
  const TransferId id{next_transfer_++};
  transfers_.emplace(id, PendingTransfer{.request = request, .on_read = std::move(on_read)});
  links_.push(
      {id, request.account, request.tier, request.bytes, request.deadline, Priority::kHigh});
  start_queued_transfers();
}

void StoreClient::write(const TransferRequest& request,
                        std::string payload,
                        WriteCallback on_written) {
  const TransferId id{next_transfer_++};
  transfers_.emplace(id, PendingTransfer{.request = request,
                                         .payload = std::move(payload),
                                         .on_written = std::move(on_written)});
  links_.push({id, request.account, request.tier, request.bytes, request.deadline, Priority::kLow});
  start_queued_transfers();
}

void StoreClient::start_queued_transfers() {
  for (const Tier tier : {Tier::kMemory, Tier::kDisk}) {
    while (const auto next = links_.start_next(tier, clock_.now())) {
      start(next->id);
    }
  }
}

void StoreClient::start(TransferId id) {
  PendingTransfer& transfer = transfers_.at(id);
  const auto selected = selector_.select(transfer.request.key, clock_.now());
  const auto store = selected.has_value() ? stores_.find(*selected) : stores_.end();
  if (store == stores_.end()) {
    // Deferred, because `read` or `write` must return before the callback is called.
    loop_.post([self = self_, id] {
      if (*self != nullptr && (*self)->transfers_.contains(id)) {
        (*self)->abandon_transfer(id);
      }
    });
    return;
  }
  transfer.store = store->first;
  HttpCall call;
  call.endpoint = store->second.endpoint;
  call.path =
      "/blocks/" + transfer.request.key.to_hex() + "?tier=" + tier_name(transfer.request.tier);
  call.connect_timeout = std::max(
      Duration{1}, std::min(call.connect_timeout, transfer.request.deadline - clock_.now()));
  BlockGeneration generation;
  if (transfer.on_written) {
    generation = generations_.next(clock_.wall());
    call.method = "PUT";
    call.headers = {{"content-type", "application/octet-stream"}};
    call.body = encode_block_frame(transfer.request.key, generation, transfer.payload);
  }
  transfer.request.min_generation = std::max(transfer.request.min_generation, generation);
  transfer.call =
      client_.send(std::move(call), [this, self = self_, id](HttpClient::Response response) {
        loop_.post([self, id, response = std::move(response)]() mutable {
          if (*self != nullptr && (*self)->transfers_.contains(id)) {
            (*self)->handle_response(id, std::move(response));
          }
        });
      });
}

StoreClient::PendingTransfer StoreClient::remove_transfer(TransferId id) {
  const auto found = transfers_.find(id);
  PendingTransfer transfer = std::move(found->second);
  transfers_.erase(found);
  links_.finish(id);
  return transfer;
}

void StoreClient::handle_response(TransferId id, HttpClient::Response response) {
  PendingTransfer transfer = remove_transfer(id);
  start_queued_transfers();
  if (!is_complete(response) || response.status >= 500) {
    // Status 507 means that the store is full, which is not counted as a failure.
    if (response.status != 507) {
      selector_.report_failure(*transfer.store, clock_.now());
    }
    metrics_.count("bluebellstep_store_transfers_total",
                   response.status == 507 ? "full" : "failed");
    complete_without_block(std::move(transfer));
    return;
  }
  if (transfer.on_written) {
    const BlockGeneration generation = transfer.request.min_generation;
    finish_write(std::move(transfer), generation, response);
  } else {
    finish_read(std::move(transfer), std::move(response));
  }
}

void StoreClient::finish_read(PendingTransfer transfer, HttpClient::Response response) {
  if (response.status != 200) {
    selector_.report_success(*transfer.store);
    metrics_.count("bluebellstep_store_transfers_total", "missing");
    complete_without_block(std::move(transfer));
    return;
  }
  const ExpectedBlock expected{transfer.request.key, transfer.request.min_generation};
  const auto payload = decode_block_frame(response.body, expected);
  if (!payload.has_value()) {
    selector_.report_failure(*transfer.store, clock_.now());
    metrics_.count("bluebellstep_store_transfers_total", "damaged");
    complete_without_block(std::move(transfer));
    return;
  }
  selector_.report_success(*transfer.store);
  metrics_.count("bluebellstep_store_transfers_total", "read");
  metrics_.count("bluebellstep_link_bytes_total", tier_name(transfer.request.tier),
                 static_cast<double>(response.body.size()));
  transfer.on_read(Block{std::string(*payload), transfer.request.min_generation,
                         static_cast<std::uint32_t>(response.body.size())});
}

void StoreClient::finish_write(PendingTransfer transfer,
                               BlockGeneration generation,
                               const HttpClient::Response& response) {
  const bool is_stored = response.status >= 200 && response.status < 300;
  selector_.report_success(*transfer.store);
  metrics_.count("bluebellstep_store_transfers_total", is_stored ? "written" : "refused");
  metrics_.count("bluebellstep_link_bytes_total", tier_name(transfer.request.tier),
                 static_cast<double>(transfer.payload.size()));
  transfer.on_written(is_stored ? std::optional(generation) : std::nullopt);
}

void StoreClient::complete_without_block(PendingTransfer transfer) {
  if (transfer.on_written) {
    transfer.on_written(std::nullopt);
  } else {
    transfer.on_read(std::nullopt);
  }
}

void StoreClient::abandon_transfer(TransferId id) {
  PendingTransfer transfer = remove_transfer(id);
  if (transfer.call.has_value()) {
    client_.cancel(*transfer.call);
    selector_.report_failure(*transfer.store, clock_.now());
    metrics_.count("bluebellstep_store_transfers_total", "late");
  }
  complete_without_block(std::move(transfer));
}

void StoreClient::tick() {
  const Instant now = clock_.now();
  std::vector<TransferId> expired;
  for (const auto& [id, transfer] : transfers_) {
    if (now >= transfer.request.deadline) {
      expired.push_back(id);
    }
  }
  links_.take_expired(now);
  for (const TransferId id : expired) {
    if (transfers_.contains(id)) {
      abandon_transfer(id);
    }
  }
  start_queued_transfers();
}

}  // namespace bluebellstep
