// Encoding of verdicts in RPC messages.

#ifndef BLUEBELLSTEP_RPC_WIRE_VERDICT_H_
#define BLUEBELLSTEP_RPC_WIRE_VERDICT_H_

#include "base/verdict.h"
#include "rpc/peer.capnp.h"

namespace bluebellstep {

/** Reads a verdict. An unknown run state is read as "may have run". */
Verdict read_verdict(wire::Verdict::Reader in);

/** Writes a verdict. */
void write_verdict(wire::Verdict::Builder out, const Verdict& verdict);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RPC_WIRE_VERDICT_H_
