#include "observe/log.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace eelgrassdoor::observe {

namespace {

boost::log::trivial::severity_level to_boost_severity(severity level) {
    switch (level) {
    case severity::info:
        return boost::log::trivial::info;
    case severity::warning:
        return boost::log::trivial::warning;
    case severity::error:
        return boost::log::trivial::error;
    }
    return boost::log::trivial::error;
}

} // namespace

void init_log(severity min_severity) {
    boost::log::add_console_log(std::cerr, boost::log::keywords::format = "%Message%");
    boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                        to_boost_severity(min_severity));
}

void write_log(severity level, std::string_view line) {
    BOOST_LOG_STREAM_WITH_PARAMS(boost::log::trivial::logger::get(),
                                 (boost::log::keywords::severity = to_boost_severity(level)))
        << line;
}

} // namespace eelgrassdoor::observe
