-- A caller gets the whole answer to its own request, or an explicit error: crossed, cut and silent
-- answers are never passed on as whole.
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
    expect(json_decode(answer.body).choices[1].text == complete_text, message .. ": the whole text")
    return answer.headers["X-Request-Id"]
end

-- The time lines of three processes tell one request in causal order.
local function check_timeline(id)
    local last, processes = 0, 0
    for _, name in ipairs{"request_received", "limit_granted", "target_chosen", "target_failed", "request_retried", "request_finished"} do
        local found
        for _, e in ipairs(timeline_events(host, name)) do if e.subject == id then found = found or e end end
        expect(found and found.stamp > last, name .. " stands in its place in the time line")
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
    expect(processes == 2, "two engines and the daemon know the request: " .. processes)
end

f:control(local_engine, {wrong_id_responses = 1})
check_timeline(expect_complete_response("a crossed answer is discarded and the request sent elsewhere"))
sleep(2.1)
f:control(local_engine, {wrong_id_responses = 1})
local stream = f:complete(host, key, {stream = true})
expect(stream.status == 200 and not stream.body:find("another") and stream.body:find("%[DONE%]"),
    "a crossed stream is discarded: " .. stream.body)

sleep(2.1)
f:control(local_engine, {disconnect_after_tokens = 2})
expect_complete_response("a whole answer that is cut is asked for elsewhere")
sleep(2.1)
local cut = f:complete(host, key, {stream = true})
expect(cut.status == 200, "a stream has begun")
expect(cut.body:find("event: error") and cut.body:find("broke off") and not cut.body:find("%[DONE%]"),
    "a stream that breaks ends with an explicit error event: " .. cut.body)
f:control(local_engine, {})

-- The connection goes silent: the request ends elsewhere before its deadline.
sleep(2.1)
f:control(local_engine, {hang = true})
expect_complete_response("a silent engine is left")
sleep(2.1)
local silent = f:complete(host, key, {stream = true, timeout = 40})
expect(silent.status == 200 and silent.body:find("%[DONE%]"), "a silent stream is begun elsewhere: " .. silent.body)
f:control(local_engine, {})

-- Whole requests that are cut by both engines end with an error that says that they may have run.
for _, e in ipairs(f.target_names) do f:control(e, {disconnect_after_tokens = 1}) end
sleep(2.1)
local broken = f:complete(host, key)
expect(broken.status == 502 and json_decode(broken.body).error.run == "unknown", "no half answer: " .. broken.body)
for _, e in ipairs(f.target_names) do f:control(e, {}) end
sleep(2.1)
expect_complete_response("all is well again")
