// Limits a failure for want of a resource to the exchange in which it occurs.
#ifndef NET_FAILURE_BOUNDARY_H_
#define NET_FAILURE_BOUNDARY_H_

#include <new>
#include <stdexcept>
#include <string>
#include <system_error>

#include <boost/system/system_error.hpp>

#include "base/json.h"
#include "net/event_loop.h"

namespace kumquatcart {

// Runs `handle`, which handles one connection, exchange or datagram. Returns
// false if it ends with an exception that the input or a lack of resources can
// cause: std::bad_alloc, std::length_error, std::system_error, Boost's
// system_error or Json::exception. The loop's monitor then logs the cause and
// counts it under `exchange`, which must stay valid for ever. Every other
// exception is a broken invariant and propagates, and so does the unwinding of
// a coroutine. Preconditions: `handle` leaves what others use in a valid state
// when it throws. Must be used on the event loop's thread.
template <class Handle>
bool ContainFailure(EventLoop* loop, const char* exchange, Handle handle) {
  // The cause is logged outside of the handlers: a coroutine must not be
  // suspended within one.
  std::string cause;
  try {
    handle();
    return true;
  } catch (const std::bad_alloc& error) {
    cause = error.what();
  } catch (const std::length_error& error) {
    cause = error.what();
  } catch (const std::system_error& error) {
    cause = error.what();
  } catch (const boost::system::system_error& error) {
    cause = error.what();
  } catch (const Json::exception& error) {
    cause = error.what();
  }
  loop->Monitor()->NoteFailure(exchange, cause, loop->Now());
  return false;
}

}  // namespace kumquatcart

#endif  // NET_FAILURE_BOUNDARY_H_
