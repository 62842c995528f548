#pragma once

#include <tclap/CmdLine.h>

#include "cli/operator_client.h"

namespace chervilslip::cli {

/// The options that every command takes. Not thread safe.
class common_options {
public:
    explicit common_options(TCLAP::CmdLine& line);

    /// Returns how to reach the system. Precondition: the line was parsed. Errors: `invalid` when
    /// no node or token is given, or a node is not "IP:port".
    [[nodiscard]] common::result<connection> reach() const;

    /// Tells whether output is JSON. Precondition: the line was parsed.
    [[nodiscard]] bool json_output() const;

private:
    TCLAP::MultiArg<std::string> nodes;
    TCLAP::ValueArg<std::string> token_file;
    TCLAP::ValueArg<std::string> author;
    TCLAP::SwitchArg json;
};

} // namespace chervilslip::cli
