// Contents of KV cache blocks in the stand-ins: a function of the key, so that a test can detect a
// block whose bytes do not belong to its key.

#ifndef BLUEBELLSTEP_STANDINS_BLOCK_PAYLOAD_H_
#define BLUEBELLSTEP_STANDINS_BLOCK_PAYLOAD_H_

#include <cstddef>
#include <string>

#include "cache/block_key.h"

namespace bluebellstep::standins {

/** Returns the `size` bytes that the block with `key` contains. */
std::string block_payload(BlockKey key, std::size_t size);

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_BLOCK_PAYLOAD_H_
