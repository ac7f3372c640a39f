-- A caller gets the complete response to its own request or an explicit error. A response with the
-- id of another request, a truncated one or a stalled one is never forwarded as complete.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros"}, engine = {["token-ms"] = 10, ["prefill-ms"] = 10}}
f:boot(default_sheet(f))
local _, key, version = f:add_key("trust-gate")
f:wait_version(version, 5)
local host = f.host_names[1]
local local_engine = "orange-valley-e1"
local complete_text = "t0 t1 t2 t3 "

local function expect_complete_response(message, options)
    local answer = f:complete(host, key, options)
    expect(answer.status == 200, message .. ": " .. answer.status .. " " .. answer.body)
    expect(json_decode(answer.body).choices[1].text == complete_text, message .. ": the complete text")
    return answer.headers["X-Request-Id"]
end

-- The timelines of the daemon and both engines show the events of one request in causal order.
local function check_timeline(id)
    local last, processes = 0, 0
    for _, name in ipairs{"request_received", "limit_granted", "target_chosen", "target_failed", "request_retried", "request_finished"} do
        local found
        for _, e in ipairs(timeline_events(host, name)) do if e.subject == id then found = found or e end end
        expect(found and found.stamp > last, name .. " is in the timeline, after the event that causes it")
        last = found.stamp
    end
    for _, engine in ipairs(f.target_names) do
        for _, e in ipairs(timeline_events(engine, "engine_ran")) do
            if e.subject == id then
                processes = processes + 1
                expect(e.stamp < last, "the engine ran before the request finished")
            end
        end
    end
    expect(processes == 2, "both engines ran the request: " .. processes)
end

f:control(local_engine, {wrong_id_responses = 1})
check_timeline(expect_complete_response("a response with a foreign id is discarded and the request retried on another engine"))
run_for(2.1)
f:control(local_engine, {wrong_id_responses = 1})
local stream = f:complete(host, key, {stream = true})
expect(stream.status == 200 and not stream.body:find("another") and stream.body:find("%[DONE%]"),
    "a stream with a foreign id is discarded: " .. stream.body)

run_for(2.1)
f:control(local_engine, {disconnect_after_tokens = 2})
expect_complete_response("a request whose response is truncated is retried on another engine")
run_for(2.1)
local cut = f:complete(host, key, {stream = true})
expect(cut.status == 200, "a stream that breaks later starts with status 200")
expect(cut.body:find("event: error") and cut.body:find("broke off") and not cut.body:find("%[DONE%]"),
    "a stream that breaks ends with an explicit error event: " .. cut.body)
f:control(local_engine, {})

-- The engine stalls: the request is completed by another engine before its deadline.
run_for(2.1)
f:control(local_engine, {hang = true})
expect_complete_response("a request on a stalled engine is retried on another one")
run_for(2.1)
local silent = f:complete(host, key, {stream = true, timeout = 40})
expect(silent.status == 200 and silent.body:find("%[DONE%]"), "a stalled stream is restarted on another engine: " .. silent.body)
f:control(local_engine, {})

-- When both engines truncate a non-streaming response, the error says that the request may have
-- run.
for _, e in ipairs(f.target_names) do f:control(e, {disconnect_after_tokens = 1}) end
run_for(2.1)
local broken = f:complete(host, key)
expect(broken.status == 502 and json_decode(broken.body).error.run == "unknown", "a truncated response is reported as run = unknown: " .. broken.body)
for _, e in ipairs(f.target_names) do f:control(e, {}) end
run_for(2.1)
expect_complete_response("requests succeed after the faults are cleared")
