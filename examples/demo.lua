-- Demonstration with the Trust's example sheet: 8 entry hosts in 4 zones and 10 simulated engines
-- serve online requests and a batch job while one host is killed. Prints the results.
local example_dir = script_dir
script_dir = example_dir .. "/../test/scenario"
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros", "la-brea", "san-fernando"}, hosts_per_zone = 2,
    engines_per_zone = 2, services = {"weighbridge-tickets", "read-grades"},
    engine = {["token-ms"] = 15, ["prefill-ms"] = 60, slots = 8}}
-- Adds two engines to reach the ten of the deployment.
local ports = free_ports(2)
for i, zone in ipairs{"orange-valley", "cedros"} do
    local name = zone .. "-e3"
    f.targets[name] = {name = name, zone = zone, http = ports[i], kind = "engine", serves = {"intake-lm"}}
    f.target_names[#f.target_names + 1] = name
end
print("starting 8 entry hosts, and simulations of 10 engines, 2 services and the platform")
f:boot(read_file(example_dir .. "/trust.csv"))
local _, clerks = f:add_key("gate-clerks")
local _, notes = f:add_key("dock-notes")
local _, accounts, version = f:add_key("accounts")
f:wait_version(version, 5)
print("sheet and keys in force on every host as version " .. version)

local completion = f:complete("cedros-h1", clerks, {prompt = "What grade is lot 12?"})
print("completion: " .. completion.body)
local ticket = f:call("la-brea-h1", clerks, "weighbridge-tickets", {body = '{"ticket":7}', headers = {["Idempotency-Key"] = "ticket-7"}})
print("call on a non-idempotent route: " .. ticket.body)

local answer = f:submit("orange-valley-h1", accounts, batch_lines(400, {max_tokens = 20}), {idempotency_key = "settlement-of-today"})
local job = json_decode(answer.body).id
print("batch job: " .. answer.body)

local urls = {}
for i, h in ipairs(f.host_names) do if i ~= 8 then urls[#urls + 1] = f:url(h) end end
start("load", "eelgrass_load", {"--hosts", table.concat(urls, ","), "--duration-s", "15", "--max-tokens", "12",
    "--customer", "gate-clerks:" .. clerks .. ":20:40:40", "--customer", "dock-notes:" .. notes .. ":10:30:30",
    "--svg", run_dir() .. "/latency.svg", "--mark", "6:host killed"})
run_for(6)
print("killing entry host san-fernando-h2")
f:kill("san-fernando-h2")
eventually(60, "the load ends", function() return ended("load") == 0 end)
print(read_file(run_dir() .. "/load.log"))
eventually(60, "the job finishes", function() return f:job("cedros-h2", accounts, job).status == "finished" end)
local _, count = f:results("cedros-h2", accounts, job)
print("batch results: " .. count .. ", one for each custom_id")
local events = 0
for _, h in ipairs(f.host_names) do events = events + #timeline_events(h, "request_received") end
print("requests in the timelines: " .. events .. "; merge them with eelgrassctl timeline merge " .. run_dir() .. "/*.timeline")
