#include "peers/secure_channel.h"

#include <cstdlib>
#include <memory>
#include <utility>

#include <openssl/evp.h>
#include <openssl/kdf.h>
#include <openssl/rand.h>

#include "peers/peer_constants.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kAesKeyBytes = 32;
constexpr std::size_t kGcmNonceBytes = 12;
constexpr std::size_t kGcmTagBytes = 16;
constexpr std::size_t kSequenceBytes = 8;
constexpr std::size_t kHeaderBytes = 1 + kSequenceBytes;
constexpr char kInitiatorLabel[] = "kumquatcart peer initiator";
constexpr char kAcceptorLabel[] = "kumquatcart peer acceptor";

using CipherContext =
    std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;
using KeyContext = std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)>;

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

const unsigned char* Bytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

int Length(const std::string& text) {
  return static_cast<int>(text.size());
}

// HKDF-SHA256. Returns an empty string if OpenSSL fails.
std::string DeriveKey(const std::string& secret,
                      const std::string& salt,
                      const std::string& label) {
  const KeyContext context(EVP_PKEY_CTX_new_id(EVP_PKEY_HKDF, nullptr),
                           &EVP_PKEY_CTX_free);
  EVP_PKEY_CTX* const raw = context.get();
  std::string key(kAesKeyBytes, '\0');
  std::size_t length = key.size();
  const bool derived =
      raw != nullptr && EVP_PKEY_derive_init(raw) > 0 &&
      EVP_PKEY_CTX_set_hkdf_md(raw, EVP_sha256()) > 0 &&
      EVP_PKEY_CTX_set1_hkdf_salt(raw, Bytes(salt), Length(salt)) > 0 &&
      EVP_PKEY_CTX_set1_hkdf_key(raw, Bytes(secret), Length(secret)) > 0 &&
      EVP_PKEY_CTX_add1_hkdf_info(raw, Bytes(label), Length(label)) > 0 &&
      EVP_PKEY_derive(raw, Bytes(key), &length) > 0;
  return derived ? key : std::string();
}

std::string EncodeHeader(std::uint64_t sequence) {
  std::string header(1, static_cast<char>(kPeerProtocolVersion));
  for (std::size_t byte = 0; byte < kSequenceBytes; ++byte) {
    header.push_back(static_cast<char>(sequence >> (8 * byte)));
  }
  return header;
}

// The sequence number padded with zeros.
std::string GcmNonce(const std::string& header) {
  std::string nonce = header.substr(1);
  nonce.resize(kGcmNonceBytes, '\0');
  return nonce;
}

}  // namespace

std::string RandomBytes(std::size_t count) {
  std::string bytes(count, '\0');
  if (RAND_bytes(Bytes(bytes), Length(bytes)) != 1) {
    std::abort();  // Without secure randomness, no key is secret.
  }
  return bytes;
}

SecureChannel::SecureChannel(std::string shared_key,
                             ChannelRole role,
                             std::string nonce)
    : shared_key(std::move(shared_key)), role(role), nonce(std::move(nonce)) {}

std::string SecureChannel::Greeting() const {
  return std::string(1, static_cast<char>(kPeerProtocolVersion)) + this->nonce;
}

Status SecureChannel::AcceptGreeting(const std::string& frame) {
  if (this->IsEstablished() || frame.size() != 1 + kPeerNonceBytes ||
      frame[0] != static_cast<char>(kPeerProtocolVersion)) {
    return MakeError(ErrorCode::kInvalidArgument, "not a greeting");
  }
  const std::string other = frame.substr(1);
  const bool initiator = this->role == ChannelRole::kInitiator;
  const std::string salt =
      initiator ? this->nonce + other : other + this->nonce;
  std::string from_initiator =
      DeriveKey(this->shared_key, salt, kInitiatorLabel);
  std::string from_acceptor = DeriveKey(this->shared_key, salt, kAcceptorLabel);
  if (from_initiator.empty() || from_acceptor.empty()) {
    return MakeError(ErrorCode::kInternal, "key derivation failed");
  }
  if (!initiator) {
    std::swap(from_initiator, from_acceptor);
  }
  this->send_key = std::move(from_initiator);
  this->receive_key = std::move(from_acceptor);
  return Ok();
}

Result<std::string> SecureChannel::Seal(const std::string& message) {
  const std::string header = EncodeHeader(this->sent);
  const std::string nonce = GcmNonce(header);
  const CipherContext context(EVP_CIPHER_CTX_new(), &EVP_CIPHER_CTX_free);
  EVP_CIPHER_CTX* const raw = context.get();
  std::string body(message.size(), '\0');
  std::string tag(kGcmTagBytes, '\0');
  int length = 0;
  const bool sealed =
      raw != nullptr &&
      EVP_EncryptInit_ex(raw, EVP_aes_256_gcm(), nullptr, Bytes(this->send_key),
                         Bytes(nonce)) == 1 &&
      EVP_EncryptUpdate(raw, nullptr, &length, Bytes(header), Length(header)) ==
          1 &&
      EVP_EncryptUpdate(raw, Bytes(body), &length, Bytes(message),
                        Length(message)) == 1 &&
      EVP_EncryptFinal_ex(raw, Bytes(body) + length, &length) == 1 &&
      EVP_CIPHER_CTX_ctrl(raw, EVP_CTRL_GCM_GET_TAG, kGcmTagBytes,
                          Bytes(tag)) == 1;
  if (!sealed) {
    return MakeError(ErrorCode::kInternal, "encryption failed");
  }
  ++this->sent;
  return header + body + tag;
}

Result<std::string> SecureChannel::Open(const std::string& frame) {
  if (frame.size() < kHeaderBytes + kGcmTagBytes ||
      frame[0] != static_cast<char>(kPeerProtocolVersion)) {
    return MakeError(ErrorCode::kInvalidArgument, "not a sealed frame");
  }
  const std::string header = frame.substr(0, kHeaderBytes);
  if (header != EncodeHeader(this->received)) {
    return MakeError(ErrorCode::kConflict, "frame out of sequence");
  }
  const std::size_t size = frame.size() - kHeaderBytes - kGcmTagBytes;
  const std::string body = frame.substr(kHeaderBytes, size);
  std::string tag = frame.substr(kHeaderBytes + size);
  const std::string nonce = GcmNonce(header);
  const CipherContext context(EVP_CIPHER_CTX_new(), &EVP_CIPHER_CTX_free);
  EVP_CIPHER_CTX* const raw = context.get();
  std::string message(size, '\0');
  int length = 0;
  const bool opened =
      raw != nullptr &&
      EVP_DecryptInit_ex(raw, EVP_aes_256_gcm(), nullptr,
                         Bytes(this->receive_key), Bytes(nonce)) == 1 &&
      EVP_DecryptUpdate(raw, nullptr, &length, Bytes(header), Length(header)) ==
          1 &&
      EVP_DecryptUpdate(raw, Bytes(message), &length, Bytes(body),
                        Length(body)) == 1 &&
      EVP_CIPHER_CTX_ctrl(raw, EVP_CTRL_GCM_SET_TAG, kGcmTagBytes,
                          Bytes(tag)) == 1 &&
      EVP_DecryptFinal_ex(raw, Bytes(message) + length, &length) == 1;
  if (!opened) {
    return MakeError(ErrorCode::kPermissionDenied,
                     "not sealed with this connection's key");
  }
  ++this->received;
  return message;
}

}  // namespace kumquatcart
