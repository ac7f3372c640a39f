/// \file
/// Guards against items whose id, path or headers hold line ends, behind which a target would read
/// a request that no caller sent.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

const std::string smuggled = "POST /j/x/2 HTTP/1.1\r\nHost: h\r\nAttempt-Id: other\r\n"
                             "Tenant: d\r\nContent-Length: 0\r\n\r\n";

/// One item, as a caller would write it.
struct item_fields {
    std::string what;
    std::string id = "item";
    std::string path = "/j/x/1";
    std::string header = "Model";
    std::string value = "m";
};

const std::vector<item_fields> unsound_items = {
    {.what = "line ends in a header's value", .value = "m\r\n\r\n" + smuggled},
    {.what = "a line feed in a header's value", .value = "m\nTenant: d"},
    {.what = "a carriage return in a header's value", .value = "m\rTenant: d"},
    {.what = "a null character in a header's value", .value = std::string("m\0n", 3)},
    {.what = "line ends in a header's name", .header = "Model: m\r\nTenant"},
    {.what = "a space at the end of a header's name", .header = "Content-Length "},
    {.what = "a colon in a header's name", .header = "Tenant:"},
    {.what = "an empty header name", .header = ""},
    {.what = "line ends in the path", .path = "/j/x HTTP/1.1\r\n\r\n" + smuggled},
    {.what = "a space in the path", .path = "/j/x HTTP/1.0"},
    {.what = "a path that is none", .path = "j/x"},
    {.what = "line ends in the id", .id = "item\r\nTenant: d"}};

class smuggling_checks {
public:
    smuggling_checks() : m_engine(m_fleet.add_engine("i-1")) {
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<int> submit(std::string job, item_fields fields) {
        nlohmann::json item{{"id", fields.id},
                            {"path", fields.path},
                            {"headers", {{fields.header, fields.value}}},
                            {"body", to_base64("body")},
                            {"tokens", 10}};
        net::http_request request = daemon_fixture::request(job, "/j/x");
        request.body = nlohmann::json{{"items", {item}}}.dump();
        const std::string endpoint = m_fleet.caller_endpoint("entry-1");
        const auto got = co_await m_fleet.call(endpoint, std::move(request));
        co_return got.status;
    }
    [[nodiscard]] std::ptrdiff_t runs_of(const std::string& item) const {
        return std::count_if(
            m_engine.received().begin(), m_engine.received().end(),
            [&](const net::http_request& each) { return each.headers.get("Attempt-Id") == item; });
    }

    net::task<> run_checks() {
        const item_fields sound{.what = "", .id = "sound-item"};
        const std::string sound_job = "sound";
        int status = 0;
        for (int i = 0; i < 300 && status != 202; ++i) {
            status = co_await submit(sound_job, sound);
        }
        require(status == 202, "a sound job is accepted");
        int number = 0;
        for (const item_fields& each : unsound_items) {
            const std::string job = str_cat("unsound-", ++number);
            const int refused = co_await submit(job, each);
            require(refused == 400, str_cat(each.what, " is refused, got ", refused));
        }
        const item_fields next{.what = "", .id = "last-item"};
        const std::string next_job = "last";
        const int last = co_await submit(next_job, next);
        require(last == 202, "a sound job is accepted afterwards");
        std::function<bool()> has_run = [this] { return runs_of("last-item") > 0; };
        co_await m_fleet.eventually("its item runs", has_run);
        require(m_engine.received().size() == 2,
                str_cat("the target gets the items of the sound jobs and nothing else, got ",
                        m_engine.received().size(), " requests"));
    }

    daemon_fixture m_fleet;
    scripted_engine& m_engine;
};

} // namespace

int main() {
    smuggling_checks().run();
}
