// Pipe for tests that read the output of a log.
#pragma once

#include <array>
#include <string>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace trefoilstile::proxy
{

/// A pipe with a non-blocking read end.
struct Pipe {
    Pipe()
    {
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    /// Reads everything that is available.
    std::string read() const
    {
        std::string text;
        std::array<char, 4096> chunk{};
        ssize_t count = 0;
        while ((count = ::read(ends[0], chunk.data(), chunk.size())) > 0) {
            text.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    std::array<int, 2> ends{}; ///< read end, write end
};

} // namespace trefoilstile::proxy
