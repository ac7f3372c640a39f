-- Completions, streams, service calls and authentication end to end, through daemons in different
-- availability zones.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros"}, services = {"weighbridge", "read-grades"}}
f:boot(default_sheet(f))
local _, key, version = f:add_key("trust-gate")
f:wait_version(version, 5)

for _, host in ipairs(f.host_names) do
    local completion = f:complete(host, key)
    expect(completion.status == 200, "a completion through " .. host .. " succeeds: " .. completion.status .. " " .. completion.body)
    expect(json_decode(completion.body).choices[1].text == "t0 t1 t2 t3 ", "the complete text: " .. completion.body)
    local stream = f:complete(host, key, {stream = true})
    expect(stream.status == 200, "a stream through " .. host .. " succeeds")
    local _, events = stream.body:gsub("data: {", "")
    expect(events == 4 and stream.body:find("data: %[DONE%]"), "the stream has all events: " .. stream.body)
    local call = f:call(host, key, "weighbridge", {body = '{"ticket":7}'})
    expect(call.status == 200 and json_decode(call.body).body == '{"ticket":7}', "a service call returns its body: " .. call.body)
    local open = f:complete(host, nil, {model = "public-hours"})
    expect(open.status == 200, "an open route needs no key")
    expect(f:complete(host, nil).status == 401, "a keyed route needs a key")
    expect(f:complete(host, "egd_000_111").status == 401, "an unknown key is refused")
end
for _, name in ipairs(f.target_names) do
    expect(f:record(name).requests_with_key == 0, "no request with a key reaches " .. name)
end
