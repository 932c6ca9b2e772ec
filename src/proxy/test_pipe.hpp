// Pipe that tests read a log from.
#pragma once

#include <array>
#include <string>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace trefoilstile::proxy
{

/// A pipe whose reading end does not block.
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

    std::array<int, 2> ends{};
};

} // namespace trefoilstile::proxy
