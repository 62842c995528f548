#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>

#include <msgpack.hpp>

#include "common/error.h"

namespace chervilslip::common {

namespace detail {

/// Appends what a packer writes to a string.
class string_sink {
public:
    explicit string_sink(std::string& to) : bytes(to)
    {
    }

    void write(const char* data, std::size_t size)
    {
        this->bytes.append(data, size);
    }

private:
    std::string& bytes;
};

} // namespace detail

/// Writes MessagePack values to the end of a string. Not thread safe.
class msgpack_writer {
public:
    /// Precondition: `to` outlives the writer.
    explicit msgpack_writer(std::string& to) : sink(to), packer(this->sink)
    {
    }

    msgpack_writer(const msgpack_writer&) = delete;
    msgpack_writer& operator=(const msgpack_writer&) = delete;
    ~msgpack_writer() = default;

    /// Begins an array of `size` values, which follow.
    msgpack_writer& array(std::size_t size)
    {
        this->packer.pack_array(static_cast<std::uint32_t>(size));
        return *this;
    }

    /// Writes one value.
    template <typename T>
    msgpack_writer& add(const T& value)
    {
        this->packer.pack(value);
        return *this;
    }

    /// Writes bytes that need not be valid UTF-8.
    msgpack_writer& add_binary(const std::string& value)
    {
        this->packer.pack_bin(static_cast<std::uint32_t>(value.size()));
        this->packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
        return *this;
    }

    msgpack_writer& add_nil()
    {
        this->packer.pack_nil();
        return *this;
    }

private:
    detail::string_sink sink;
    msgpack::packer<detail::string_sink> packer;
};

/// Read access to a MessagePack array. All members throw `msgpack::type_error` on input of another
/// structure. Thread safe. Precondition: the unpacked message outlives the row.
class msgpack_row {
public:
    explicit msgpack_row(const msgpack::object& source) : values(source.via.array)
    {
        if (source.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->values.size;
    }

    [[nodiscard]] const msgpack::object& at(std::size_t index) const
    {
        if (index >= this->values.size) {
            throw msgpack::type_error();
        }
        return this->values.ptr[index]; // NOLINT(cppcoreguidelines-pro-bounds-pointer-arithmetic)
    }

    template <typename T>
    [[nodiscard]] T get(std::size_t index) const
    {
        return this->at(index).as<T>();
    }

    [[nodiscard]] msgpack_row row(std::size_t index) const
    {
        return msgpack_row(this->at(index));
    }

    /// Calls `each` with every value.
    template <typename Each>
    void for_each(Each each) const
    {
        for (std::size_t i = 0; i < this->size(); ++i) {
            each(this->at(i));
        }
    }

private:
    msgpack::object_array values;
};

/// Unpacks one message, which must be an array, and converts it with `read`, which may throw
/// `std::logic_error` for values that are not valid. Strings are not copied before `read` gets
/// them: a `std::string_view` from the row is valid as long as `bytes`. Thread safe. Errors:
/// `bad_message`.
template <typename T, typename Read>
result<T> read_msgpack(const std::string& bytes, const std::string& step, const std::string& peer,
                       Read read)
{
    try {
        const msgpack::object_handle message =
            msgpack::unpack(bytes.data(), bytes.size(),
                            [](msgpack::type::object_type, std::size_t, void*) { return true; });
        return read(msgpack_row(message.get()));
    } catch (const msgpack::unpack_error& failure) {
        return make_error(errc::bad_message, step, peer, failure.what());
    } catch (const msgpack::type_error&) {
        return make_error(errc::bad_message, step, peer, "unexpected structure");
    } catch (const std::logic_error& failure) {
        return make_error(errc::bad_message, step, peer, failure.what());
    }
}

} // namespace chervilslip::common
