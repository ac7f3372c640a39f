-- Failing items end with an error and do not block their job; non-idempotent items end as unknown
-- when an attempt has no known outcome; a cancelled job stops.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros"}, engine = {["token-ms"] = 10, ["prefill-ms"] = 10, slots = 4}}
local sheet = make_sheet{zones = f.options.zones,
    customers = {{name = "trust-accounts", rate = 200, burst = 100}},
    models = {{name = "intake-lm", reserve = 0}},
    routes = {{name = "intake-lm", model = "intake-lm", idempotent = true}, {name = "letters", model = "intake-lm"}}}
f:boot(sheet)
local _, key, version = f:add_key("trust-accounts")
f:wait_version(version, 5)
local host, other = f.host_names[1], f.host_names[2]
local function line(id, prompt, model, tokens)
    return json_encode{custom_id = id, url = "/v1/completions", body = {model = model or "intake-lm", prompt = prompt, max_tokens = tokens or 3}}
end
local function submit(lines)
    local answer = f:submit(host, key, lines)
    expect(answer.status == 200, "the job is accepted: " .. answer.body)
    return json_decode(answer.body).id
end
local function finish(job)
    eventually(40, "the job finishes", function() return f:job(other, key, job).status == "finished" end)
    return f:results(other, key, job)
end

local results, count = finish(submit{line("good-1", "a"), line("refused", "ALWAYS-REFUSED"),
    line("crashes", "ALWAYS-CRASHES"), line("nowhere", "b", "no-such-model"), line("good-2", "c")})
expect(count == 5, "every item has a result")
expect(results["good-1"].response and results["good-2"].response, "valid items have responses")
for _, id in ipairs{"refused", "crashes", "nowhere"} do
    expect(results[id].error, "item " .. id .. " ends with an error: " .. json_encode(results[id]))
end
local attempts = 0
for _, e in ipairs(f.target_names) do
    for _, run in ipairs(f:record(e).runs) do if run.prompt:find("ALWAYS%-CRASHES") then attempts = attempts + 1 end end
end
expect(attempts >= 1 and attempts <= 3, "a crashing item is attempted 1 to 3 times: " .. attempts)

-- The route of the letters is not idempotent.
local letters, letter_count = finish(submit{line("letter-1", "letter one", "letters"), line("letter-2", "ALWAYS-CRASHES letter", "letters")})
expect(letter_count == 2 and letters["letter-1"].response, "both letters have a result, and the first one a response")
expect(letters["letter-2"].error.code == "unknown", "a letter whose response was truncated ends as unknown: " .. json_encode(letters["letter-2"]))
local runs = {}
for _, e in ipairs(f.target_names) do
    for _, run in ipairs(f:record(e).runs) do
        if run.prompt:find("letter") then runs[run.prompt] = (runs[run.prompt] or 0) + 1 end
    end
end
for prompt, n in pairs(runs) do expect(n == 1, prompt .. " runs once, not " .. n .. " times") end

-- The job's owner is killed while letters are in flight: none of them runs twice.
local many = {}
for i = 1, 40 do many[i] = line("renewal-" .. i, "renewal letter " .. i .. ".", "letters", 20) end
local job = submit(many)
eventually(20, "letters are in flight", function()
    local s = f:job(other, key, job)
    return s.request_counts and s.request_counts.completed > 3
end)
local owner = f:job(other, key, job).owner
f:kill(owner)
f:start_host(owner)
eventually(10, "the restarted host is ready", function() return f:ready(owner) end)
local renewed, renewed_count = finish(job)
expect(renewed_count == 40, "every letter has one result")
runs = {}
for _, e in ipairs(f.target_names) do
    for _, run in ipairs(f:record(e).runs) do
        local id = run.prompt:match("renewal letter (%d+)%.")
        if id then runs[id] = (runs[id] or 0) + 1 end
    end
end
for id, n in pairs(runs) do expect(n == 1, "letter " .. id .. " runs once, not " .. n .. " times") end
for i = 1, 40 do
    local r = renewed["renewal-" .. i]
    expect(r.response or r.error.code == "unknown", "a letter ends with a response or as unknown: " .. json_encode(r))
    expect(not r.response or runs[tostring(i)] == 1, "a letter with a response has run once")
end

-- A cancelled job stops within 5 s, and its results stay readable.
local long = {}
for i = 1, 400 do long[i] = line("long-" .. i, "long " .. i, nil, 20) end
job = submit(long)
eventually(20, "the job runs", function()
    local s = f:job(other, key, job)
    return s.request_counts and s.request_counts.completed > 3
end)
local answer = f:cancel_job(other, key, job)
expect(answer.status == 200, "the cancellation is confirmed: " .. answer.body)
run_for(5)
local function dispatched()
    local n = 0
    for _, h in ipairs(f.host_names) do
        for _, e in ipairs(timeline_events(h, "item_dispatched")) do if e.subject == job then n = n + 1 end end
    end
    return n
end
local before = dispatched()
always(2, "no item is dispatched more than 5 s after the cancellation", function() return dispatched() == before end)
eventually(10, "the job has status cancelled", function() return f:job(host, key, job).status == "cancelled" end)
local _, kept = f:results(host, key, job)
expect(kept > 3 and kept < 400, "the results from before the cancellation are readable: " .. tostring(kept))

-- Cancellation stops running items that would otherwise take a minute.
local slow = {}
for i = 1, 6 do slow[i] = line("slow-" .. i, "slow " .. i, nil, 6000) end
job = submit(slow)
eventually(10, "all slow items are dispatched", function()
    local n = 0
    for _, h in ipairs(f.host_names) do
        for _, e in ipairs(timeline_events(h, "item_dispatched")) do if e.subject == job then n = n + 1 end end
    end
    return n >= 6
end)
expect(f:cancel_job(host, key, job).status == 200, "the cancellation is confirmed")
eventually(5, "the job with running items has status cancelled", function() return f:job(other, key, job).status == "cancelled" end)
