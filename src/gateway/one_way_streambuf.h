// Base of the stream buffers that the gateway gives to the HTTP library.
#ifndef GATEWAY_ONE_WAY_STREAMBUF_H_
#define GATEWAY_ONE_WAY_STREAMBUF_H_

#include <cstddef>
#include <cstdint>
#include <ios>

#include <cpprest/astreambuf.h>

namespace kumquatcart {

// Implements every operation of the library's stream buffer as unsupported.
// Derived classes override `_getn` to be read from, or `_putn` to be written
// to. The names are the library's.
class OneWayStreambuf
    : public concurrency::streams::details::streambuf_state_manager<
          std::uint8_t> {
 public:
  explicit OneWayStreambuf(std::ios_base::openmode mode);

  bool can_seek() const override;
  bool has_size() const override;
  std::size_t buffer_size(std::ios_base::openmode direction) const override;
  void set_buffer_size(std::size_t size,
                       std::ios_base::openmode direction) override;
  std::size_t in_avail() const override;
  pos_type getpos(std::ios_base::openmode direction) const override;
  pos_type seekpos(pos_type position,
                   std::ios_base::openmode direction) override;
  pos_type seekoff(off_type offset,
                   std::ios_base::seekdir way,
                   std::ios_base::openmode mode) override;
  bool acquire(std::uint8_t*& pointer, std::size_t& count) override;
  void release(std::uint8_t* pointer, std::size_t count) override;

 protected:
  pplx::task<int_type> _putc(std::uint8_t byte) override;
  pplx::task<std::size_t> _putn(const std::uint8_t* bytes,
                                std::size_t count) override;
  pplx::task<int_type> _bumpc() override;
  int_type _sbumpc() override;
  pplx::task<int_type> _getc() override;
  int_type _sgetc() override;
  pplx::task<int_type> _nextc() override;
  pplx::task<int_type> _ungetc() override;
  pplx::task<std::size_t> _getn(std::uint8_t* bytes,
                                std::size_t count) override;
  std::size_t _scopy(std::uint8_t* bytes, std::size_t count) override;
  pplx::task<bool> _sync() override;
  std::uint8_t* _alloc(std::size_t count) override;
  void _commit(std::size_t count) override;
};

}  // namespace kumquatcart

#endif  // GATEWAY_ONE_WAY_STREAMBUF_H_
