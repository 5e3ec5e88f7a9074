/// @file
/// Clients that do not behave, and what a process uses while they are there.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "mangospread/address.hpp"

namespace mangospread::testing {

/// Connections that send what they are given and never read. They stay open
/// until the crowd is destroyed, or until the server closes them.
class Crowd {
 public:
  Crowd() = default;
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Opens `connections` connections to the address. Those that are refused
  /// are left out.
  void Connect(const Address& address, int connections);
  /// Sends the bytes on every connection, at most `piece` at a time and to one
  /// connection after the other. Returns when all is sent, or when no
  /// connection has taken anything for a while.
  void Send(const std::string& bytes, std::size_t piece);

 private:
  struct Client {
    int fd = -1;
    std::size_t sent = 0;
    bool closed = false;
  };

  /// Returns the number of bytes that the client's socket took.
  static std::size_t SendPiece(Client& client, const std::string& bytes,
                               std::size_t piece);

  std::vector<Client> clients_;
};

/// Largest resident memory that the process has had, in bytes; 0 if it has
/// ended.
[[nodiscard]] std::size_t PeakMemory(int pid);
/// Number of open descriptors of the process.
[[nodiscard]] std::size_t OpenDescriptors(int pid);

/// Head of a POST of a submission with the header fields `fields`, each of
/// which ends with a line break.
[[nodiscard]] std::string PostHead(const std::string& target,
                                   const std::string& fields);

}  // namespace mangospread::testing
