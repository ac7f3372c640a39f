/// \file
/// Checks that invalid completion requests are refused with an error that names the wrong field.
#include "check.hpp"
#include "serving/completion_check.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace {

using namespace eelgrassdoor;
using eelgrassdoor::test::require;
using serving::check_completion;

void check_refused(const std::string& field, const std::string& body, bool has_messages = false) {
    const result<void> outcome = check_completion(nlohmann::json::parse(body), has_messages);
    require(!outcome, body + " is refused");
    if (!outcome) {
        const error& why = outcome.error();
        require(why.code == error_code::invalid_request && why.run == run_state::not_run,
                body + " is refused with the code invalid_request and as not_run");
        require(why.message.find(field) != std::string::npos,
                why.message + " names the field " + field);
    }
}

void check_accepted(const std::string& body, bool has_messages = false) {
    require(check_completion(nlohmann::json::parse(body), has_messages).has_value(),
            body + " is accepted");
}

void check_prompts() {
    check_refused("object", "[]");
    check_refused("model", R"({"prompt":"x"})");
    check_refused("model", R"({"model":7})");
    check_refused("prompt", R"({"model":"m","prompt":5})");
    check_refused("stream", R"({"model":"m","stream":"yes"})");
    for (const std::string value : {"-1", "0", "1.5", "\"9\"", "[]"}) {
        check_refused("max_tokens", R"({"model":"m","prompt":"x","max_tokens":)" + value + "}");
        check_refused("max_completion_tokens",
                      R"({"model":"m","prompt":"x","max_completion_tokens":)" + value + "}");
    }
    check_refused("\"n\"", R"({"model":"m","prompt":"x","n":0})");
    check_accepted(R"({"model":"m","prompt":"x","max_tokens":1,"stream":true,"anything":{}})");
    check_accepted(R"({"model":"m","prompt":["x","y"],"max_tokens":null})");
}

void check_chats() {
    check_refused("messages", R"({"model":"m"})", true);
    check_refused("messages", R"({"model":"m","messages":"hello"})", true);
    check_refused("messages", R"({"model":"m","messages":[]})", true);
    check_refused("messages", R"({"model":"m","messages":["hello"]})", true);
    check_refused("role", R"({"model":"m","messages":[{"content":"x"}]})", true);
    check_refused("content", R"({"model":"m","messages":[{"role":"user","content":5}]})", true);
    check_accepted(R"({"model":"m","messages":[{"role":"user","content":"x"}]})", true);
    check_accepted(R"({"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}]})",
                   true);
    check_accepted(R"({"model":"m","messages":[{"role":"assistant","content":null}]})", true);
}

} // namespace

int main() {
    check_prompts();
    check_chats();
    return eelgrassdoor::test::finish();
}
