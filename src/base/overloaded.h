// Builds a visitor for `std::visit` from lambdas.

#ifndef BLUEBELLSTEP_BASE_OVERLOADED_H_
#define BLUEBELLSTEP_BASE_OVERLOADED_H_

namespace bluebellstep {

/** Visitor whose call operators are those of all `Callables`. */
template <typename... Callables>
struct Overloaded : Callables... {
  using Callables::operator()...;
};

template <typename... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_OVERLOADED_H_
