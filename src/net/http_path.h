#pragma once

#include "net/http_client.h"

namespace chervilslip::net {

/// A way to one HTTP peer that may lead over others. Not thread safe.
class http_path {
public:
    http_path() = default;
    http_path(const http_path&) = delete;
    http_path& operator=(const http_path&) = delete;
    virtual ~http_path() = default;

    /// Sends a request that may safely be sent twice, and hands the answer, or the error, to `done`
    /// once. The peer may take `wait` before it begins to answer; `limit` is for all else.
    virtual void call(http_request request, common::milliseconds wait, common::milliseconds limit,
                      http_answer done) = 0;
};

} // namespace chervilslip::net
