/// @file
/// Forward declarations of the public types.
#pragma once

namespace mangospread {

enum class Errc : int;
enum class Outcome : unsigned char;
enum class NotRunReason : unsigned char;
enum class ResourceKind : unsigned char;
enum class VmState : unsigned char;

class Table;
class Worker;
class VmList;

struct Address;
struct Condition;
struct Error;
struct JobSpec;
struct PolicySpec;
struct ReadRequest;
struct Resource;
struct ServiceSpec;
struct TeamSpec;
struct Transaction;
struct VmInfo;

template <typename T>
class Result;

}  // namespace mangospread
