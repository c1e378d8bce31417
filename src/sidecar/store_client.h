// Transfers blocks between this sidecar and the cache stores, in the order determined by a
// `LinkScheduler`.

#ifndef BLUEBELLSTEP_SIDECAR_STORE_CLIENT_H_
#define BLUEBELLSTEP_SIDECAR_STORE_CLIENT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bundle/bundle.h"
#include "cache/block_frame.h"
#include "cache/block_index.h"
#include "cache/fetch_planner.h"
#include "cache/link_scheduler.h"
#include "cache/store_selector.h"
#include "http/http_client.h"
#include "metrics/metrics.h"
#include "rpc/rpc_loop.h"

namespace bluebellstep {

/**
 * Reads and writes framed blocks. The callback of each transfer is called exactly once, on the
 * control thread and shortly after the deadline at the latest, even if the store is unavailable,
 * full or slow. Lives on the control thread.
 */
class StoreClient {
 public:
  /** A block that was read. */
  struct Block {
    std::string payload;
    BlockGeneration generation;
    std::uint32_t frame_bytes = 0;
  };

  /** Receives the block, or nothing if it is missing, damaged or late, or if no store is available.
   */
  using ReadCallback = std::function<void(std::optional<Block>)>;

  /** Receives the generation written, or nothing if the block was not stored. */
  using WriteCallback = std::function<void(std::optional<BlockGeneration>)>;

  /** Block to transfer, and its deadline. */
  struct TransferRequest {
    BlockKey key;
    AccountId account;
    Tier tier = Tier::kMemory;
    std::uint64_t bytes = 0;         // Estimated size, used to share the link fairly.
    BlockGeneration min_generation;  // Reads: lowest generation to accept. Writes: set when the
                                     // transfer starts.
    Instant deadline;
  };

  /** All references must outlive this. */
  StoreClient(RpcLoop& loop, HttpClient& client, Metrics& metrics);
  ~StoreClient();

  /** Applies the stores of a bundle and the shares of its accounts. */
  void apply_bundle(const Bundle& bundle, NameTable<AccountId>& accounts);

  /** Reads a block. */
  void read(const TransferRequest& request, ReadCallback on_read);

  /** Writes a block. Writes have a lower priority than all reads of the same account. */
  void write(const TransferRequest& request, std::string payload, WriteCallback on_written);

  /** Whether the bundle has any cache stores. */
  bool has_stores() const { return !stores_.empty(); }

  /** Returns the total rate of the links to a tier of all available stores, and the bytes queued on
   * them. */
  LinkState link_state(Tier tier) const;

  /** Ends transfers whose deadline has passed. Call it every few milliseconds. */
  void tick();

 private:
  struct Store {
    std::string name;
    Endpoint endpoint;
    std::array<std::uint64_t, kTierCount> bytes_per_s = {};
  };

  struct PendingTransfer {
    TransferRequest request;
    std::string payload;       // Writes only.
    ReadCallback on_read;      // Set for reads.
    WriteCallback on_written;  // Set for writes.
    std::optional<StoreId> store;
    std::optional<HttpCallId> call;  // Set once the transfer is started.
  };

  void start_queued_transfers();
  void start(TransferId id);
  void handle_response(TransferId id, HttpClient::Response response);
  void finish_read(PendingTransfer transfer, HttpClient::Response response);
  void finish_write(PendingTransfer transfer,
                    BlockGeneration generation,
                    const HttpClient::Response& response);
  void abandon_transfer(TransferId id);
  PendingTransfer remove_transfer(TransferId id);
  static void complete_without_block(PendingTransfer transfer);

  RpcLoop& loop_;
  HttpClient& client_;
  Metrics& metrics_;
  Clock clock_;
  StoreSelector selector_;
  LinkScheduler links_;
  GenerationAllocator generations_;
  std::map<StoreId, Store> stores_;
  std::map<std::string, StoreId, std::less<>> store_ids_;
  std::uint64_t next_transfer_ = 1;
  std::map<TransferId, PendingTransfer> transfers_;
  // Shared with callbacks, which may outlive this object. Points to null after its destruction.
  std::shared_ptr<StoreClient*> self_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_STORE_CLIENT_H_
