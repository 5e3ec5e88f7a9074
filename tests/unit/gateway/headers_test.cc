#include "gateway/routing/headers.hpp"

#include <doctest/doctest.h>

namespace mangospread::gateway {
namespace {

net::Headers Make(
    std::initializer_list<std::pair<const char*, const char*>> fields) {
  net::Headers headers;
  for (const auto& [name, value] : fields) headers.Add(name, value);
  return headers;
}

// Guards against callers that bypass the owner's fencing token, and against
// hop-by-hop fields that are forwarded to the endpoint.
TEST_CASE("request fields are filtered for the endpoint") {
  net::Headers out = Make({{"Accept", "a"},
                           {"mangospread-epoch", "99"},
                           {"Mangospread-Owner", "evil"},
                           {"Mangospread-Refused", "full"},
                           {"Expect", "100-continue"},
                           {"Connection", "close, X-Hop"},
                           {"x-hop", "1"},
                           {"TE", "trailers"},
                           {"Proxy-Connection", "close"},
                           {"Content-Length", "5"},
                           {"Idempotency-Key", "k"}});
  FilterRequest(out);
  CHECK(out.size() == 2);
  CHECK(out.Has("Accept"));
  CHECK(out.Has("Idempotency-Key"));
}

// Guards against an endpoint that sets the fields by which the system reports
// outcomes.
TEST_CASE("response fields are filtered for the caller") {
  net::Headers in = Make({{"Mangospread-Outcome", "not-run"},
                          {"Mangospread-Replayed", "true"},
                          {"Mangospread-Request-Id", "n-1-1"},
                          {"Connection", "X-Hop"},
                          {"X-Hop", "1"},
                          {"Content-Length", "500"},
                          {"ETag", "e"}});
  FilterResponse(in, true);
  CHECK(in.Get("content-length") == "500");
  CHECK(in.size() == 3);
  FilterResponse(in, false);
  CHECK(in.size() == 2);
}

}  // namespace
}  // namespace mangospread::gateway
